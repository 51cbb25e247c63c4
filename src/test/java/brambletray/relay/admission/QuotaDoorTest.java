package brambletray.relay.admission;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Clock;
import brambletray.relay.core.AdmissionGate;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import brambletray.relay.quota.Member;
import brambletray.relay.serve.Config;
import brambletray.relay.serve.RelayProcess;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import brambletray.relay.wire.Wire;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Quotas at the door of a relay, and over its restarts. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class QuotaDoorTest {
    @TempDir
    Path folder;

    private static String header(List<String> head, String name) {
        return head.stream()
                .filter(h -> h.toLowerCase().startsWith(name.toLowerCase() + ":"))
                .map(h -> h.substring(h.indexOf(' ') + 1))
                .findFirst()
                .orElse(null);
    }

    @Test
    void whatIsBeyondALimitIsRefusedWithATime() throws Exception {
        try (HostStub host = new HostStub();
                PlatformStub platform = new PlatformStub(folder)) {
            Files.writeString(
                    folder.resolve("quotas.yaml"),
                    "name: all\nlimits: [{messages: 2, in_s: 600}]\nmembers:\n"
                            + "  - {name: pay, match: {class: pay}, limits: [{messages: 1, in_s: 60}]}\n");
            platform.more = "\"quotas\":\"quotas.yaml\",";
            try (RelayProcess relay = platform.relay(PlatformStub.host("a", host.port(), 7, "ready"));
                    var client = new PlatformStub.Client(relay)) {
                assertTrue(client.post("m1", "pay", 7, 16_000).get(0).contains("202"));
                host.call().answer(HostStub.OK);
                List<String> refused = client.post("m2", "pay", 7, 16_000);
                assertTrue(refused.get(0).contains("503"), refused.toString());
                double after = Double.parseDouble(header(refused, "Retry-After"));
                assertTrue(after > 50 && after <= 60, "come again after " + after);
                assertTrue(client.post("m3", "bill", 7, 16_000).get(0).contains("202"));
                host.call().answer(HostStub.OK);
                assertTrue(client.post("m4", "bill", 7, 16_000).get(0).contains("503"), "the limit above");
                String view = HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                                + relay.address().getPort() + "/v1/quotas"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .body();
                Wire.Fields all =
                        Wire.decode("{\"all\":" + view + "}").objects("all").get(0);
                assertEquals("all", all.text("path"));
                assertEquals(2, all.object("messages").whole("used_in_all"));
                assertEquals(2, all.object("messages").whole("refused_in_all"));
                Files.writeString(folder.resolve("quotas.yaml"), "name: all\nlimits: [{messages: 3, in_s: 600}]\n");
                relay.reload(platform.configure(platform, PlatformStub.host("a", host.port(), 7, "ready")));
                platform.changes.add(PlatformStub.list(2, false));
                for (int i = 0; !client.post("n" + i, "bill", 7, 16_000).get(0).contains("202"); i++) {
                    assertTrue(i < 100_000, "the new file counts");
                }
                host.call().answer(HostStub.OK);
                assertTrue(client.post("m5", "bill", 7, 16_000).get(0).contains("503"), "and what was used counts on");
            }
        }
    }

    /** Room held on loan is wanted by one with a right to it: what still waits ends by a notice, harmlessly. */
    @Test
    void whatWaitsOnLoanIsHandedBack() throws Exception {
        try (HostStub host = new HostStub();
                PlatformStub platform = new PlatformStub(folder)) {
            Files.writeString(
                    folder.resolve("quotas.yaml"),
                    "name: all\nheld: 4\nmembers:\n"
                            + "  - {name: bill, match: {class: bill}, share: {held: 2}}\n  - {name: pay, match: {class: pay}, share: {held: 2}}\n");
            platform.more = "\"quotas\":\"quotas.yaml\",";
            platform.openCap = 50;
            try (RelayProcess relay = platform.relay(PlatformStub.host("a", host.port(), 7, "ready"));
                    var client = new PlatformStub.Client(relay)) {
                for (int i = 0; i < 4; i++) {
                    assertTrue(client.post("b" + i, "bill", 7, 16_000).get(0).contains("202"));
                }
                assertTrue(client.post("p0", "pay", 7, 16_000).get(0).contains("503"));
                String notice = platform.notice();
                assertTrue(notice.contains("\"b3\"") && notice.contains("handed_back"), notice);
                assertTrue(client.post("p1", "pay", 7, 16_000).get(0).contains("202"));
            }
        }
    }

    private static Message message(int number) {
        return new Message("m" + number, "bill", 0, null, null, 7, 0, Body.of(new byte[10]));
    }

    /** However the process ends, no more than the limit gets in over a window that spans the restart. */
    @ParameterizedTest
    @ValueSource(ints = {100, 640})
    void aLongWindowOutlastsTheProcess(int most) throws Exception {
        Member tree = QuotaFile.parse(
                "q.yaml",
                "name: all\nlimits: [{messages: 10000, in_s: 3600}]\nmembers:\n"
                        + "  - {name: bill, match: {class: bill}, limits: [{messages: " + most + ", in_s: 60}]}\n");
        for (int killedAfter = 1; killedAfter < 100; killedAfter += 7) {
            MemoryDisk disk = new MemoryDisk();
            int taken = 0;
            for (int life = 0; life < 3; life++) {
                Store store = Store.open(disk, new Store.Options(3_000_000, Store.Promise.PROCESS, 1 << 16));
                AdmissionGate door = new QuotaDoor(Clock.system(), store, tree, List.of(), 0, 1);
                int own = 0;
                while ((life == 2 || own < killedAfter) && door.admit(message(taken)) == AdmissionGate.ADMITTED) {
                    taken++;
                    own++;
                    store.commit();
                }
                disk = disk.killed();
            }
            assertTrue(taken <= most, "killed after " + killedAfter + ": " + taken);
            assertTrue(taken >= 0.9 * most, "little is lost by it: " + taken);
        }
    }

    @Test
    void aFaultyFileEndsTheStart() throws Exception {
        try (PlatformStub platform = new PlatformStub(folder)) {
            Files.writeString(folder.resolve("quotas.yaml"), "name: all\nlimit: 3\n");
            platform.more = "\"quotas\":\"quotas.yaml\",";
            Exception fault = assertThrows(Config.Unusable.class, () -> platform.relay());
            assertTrue(fault.getMessage().contains("quotas.yaml:2:1"), fault.getMessage());
        }
    }

    @Test
    void theExampleIsRight() throws Exception {
        assertEquals(
                3, QuotaFile.read(Path.of("deploy", "quotas.yaml")).members().size());
    }
}
