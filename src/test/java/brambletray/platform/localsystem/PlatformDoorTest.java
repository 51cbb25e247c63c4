package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.platformstub.PlatformStubServer;
import brambletray.platform.platformstub.ServiceKind;
import brambletray.platform.transport.Sockets;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The platform's stand-in as a process meets it: real sockets on loopback, a port of the system's choice. */
class PlatformDoorTest {
    private final Machine machine = Sockets.machine();
    private final HttpClient client = HttpClient.newHttpClient();
    private PlatformStubServer door;
    private String at;

    /** {@code lagMs} below 0: lists show what is yet to come, so that no test waits for it. */
    private void open(int lagMs, double listsPerS, double dutiesPerS) {
        long now = machine.clock().nanos() / 1_000_000;
        PlatformStub stand = new PlatformStub(
                new PlatformParameters(lagMs, listsPerS, dutiesPerS, 2, 3_000, 2_000, 2_500),
                3,
                now,
                made -> "127.9.0." + (made + 1) + ":80");
        stand.worker("w-1", "east", 450, now);
        stand.service("tea", new ServiceKind(100, 400, 0));
        door = new PlatformStubServer(machine, stand);
        Channel listener = door.open(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        at = "http://127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @AfterEach
    void close() {
        door.close();
        machine.loop().parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private HttpResponse<byte[]> call(String path, String body) throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(at + path)).header("Brambletray-Fence-Token", "4");
        return client.send(
                (body == null ? request.GET() : request.POST(HttpRequest.BodyPublishers.ofString(body))).build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    private HttpResponse<byte[]> begin(String worker, String nonce) throws IOException, InterruptedException {
        return call(
                "/brambletray/begin",
                "{\"service\":\"tea\",\"worker\":\"" + worker + "\",\"request-nonce\":\"" + nonce + "\"}");
    }

    @Test
    void startsStopsAndRefuses() throws IOException, InterruptedException {
        open(0, 100, 100);
        Map<String, Object> first = JsonValues.object(begin("w-1", "n-1").body());
        assertEquals("127.9.0.1:80", first.get("address"));
        assertEquals(first, JsonValues.object(begin("w-1", "n-1").body()), "a nonce that was seen: the same host");
        for (int i = 2; i <= 4; i++) {
            assertEquals(200, begin("w-1", "n-" + i).statusCode());
        }
        assertEquals(409, begin("w-1", "n-5").statusCode(), "no room");
        assertEquals(409, begin("w-9", "n-5").statusCode(), "no such worker");
        assertEquals(
                400,
                call("/brambletray/begin", "{\"service\":\"coffee\",\"worker\":\"w-1\",\"request-nonce\":\"n\"}")
                        .statusCode());
        assertEquals(400, call("/brambletray/begin", "{\"service\":\"tea\"").statusCode());
        assertEquals(
                404, call("/brambletray/stop", "{\"instance-id\":\"i-none\"}").statusCode());
        assertEquals(
                200,
                call("/brambletray/stop", "{\"instance-id\":\"" + first.get("instance-id") + "\"}")
                        .statusCode());
        assertEquals(200, begin("w-1", "n-6").statusCode(), "its memory is free again");
    }

    @Test
    void callsBeyondTheRateAreTurnedAway() throws IOException, InterruptedException {
        open(0, 0.001, 0.001);
        assertEquals(
                List.of(200, 429),
                List.of(begin("w-1", "n-1").statusCode(), begin("w-1", "n-2").statusCode()));
        assertEquals(
                List.of(200, 429),
                List.of(
                        call("/instances", null).statusCode(),
                        call("/brambletray/workers", null).statusCode()));
    }

    @Test
    void listsComeByPagesAndWithTheirLag() throws IOException, InterruptedException {
        open(-1_000, 100, 100);
        for (int i = 1; i <= 3; i++) {
            begin("w-1", "n-" + i);
        }
        Map<String, Object> page = JsonValues.object(call("/instances", null).body());
        assertEquals(2, JsonValues.list(page, "instances").size());
        Map<String, Object> last = JsonValues.object(
                call("/instances?page-token=" + page.get("next-token"), null).body());
        assertEquals(1, JsonValues.list(last, "instances").size());
        assertTrue(last.containsKey("next-token") && last.get("next-token") == null);
        assertEquals("w-1", JsonValues.list(last, "instances").get(0).get("worker"));
        Map<String, Object> worker = JsonValues.list(
                        JsonValues.object(call("/brambletray/workers", null).body()), "workers")
                .get(0);
        assertEquals(150L, worker.get("free-memory-mb"));
        assertEquals("operational", worker.get("oper-state"));
        door.close();
        open(60_000, 100, 100);
        begin("w-1", "n-1");
        assertEquals(
                List.of(),
                JsonValues.list(JsonValues.object(call("/instances", null).body()), "instances"));
    }
}
