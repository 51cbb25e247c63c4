package brambletray.relay.standalone;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.serve.RelayProcess;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A relay without the platform, on loopback. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class StandaloneTest {
    private static final String HEAD = "name,address,port,destination,rate\n";

    @TempDir
    Path folder;

    private final HttpClient http = HttpClient.newHttpClient();

    private Path config(String more) throws IOException {
        return Files.writeString(folder.resolve("relay.yaml"), """
            listen: 127.0.0.1:0
            inventory: hosts.csv
            outlasts: process
            guards: {settle_ms: 0, poll_ms: 10}
            limits: {held: 50}
            classes:
              - {name: bill, effect: keyed, aim_ms: 8000, window_ms: 15000}
              - {name: pay, effect: unsafe}
            """ + more);
    }

    private void hosts(String rows) throws IOException {
        Path fresh = Files.writeString(folder.resolve("hosts.new"), HEAD + rows);
        Files.move(
                fresh,
                folder.resolve("hosts.csv"),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    private static String row(String name, HostStub host, int destination) {
        return name + ",127.0.0.1," + host.port() + "," + destination + ",50\n";
    }

    private String get(RelayProcess relay, String id) throws Exception {
        HttpResponse<String> answer = http.send(
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + relay.address().getPort() + "/v1/messages/" + id))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() == 200 ? answer.body() : "" + answer.statusCode();
    }

    private int post(RelayProcess relay, String id, String messageClass, int destination) throws Exception {
        return http.send(
                        HttpRequest.newBuilder(URI.create(
                                        "http://127.0.0.1:" + relay.address().getPort() + "/" + messageClass))
                                .header("X-Request-ID", id)
                                .header("X-Priority-Class", messageClass)
                                .header("X-Timeout-Ms", "16000")
                                .header("X-Envelope", "dest=" + destination)
                                .header("Idempotency-Key", "key-" + id)
                                .POST(HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    private static void await(BooleanSupplier state) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PlatformStub.PATIENCE_S);
        while (!state.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "not in time");
            Thread.onSpinWait();
        }
    }

    @Test
    void aMessageIsDeliveredAndItsAnswerKeptOverARestart() throws Exception {
        try (HostStub host = new HostStub()) {
            hosts(row("a", host, 7));
            Path config = config("");
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                assertEquals("404", get(relay, "m1"));
                assertEquals(202, post(relay, "m1", "bill", 7));
                HostStub.Call call = host.call();
                assertEquals("{\"outcome\":\"pending\"}", get(relay, "m1"));
                call.answer(HostStub.OK);
                await(() -> idle(relay));
                assertEquals("{\"message\":\"m1\",\"outcome\":\"delivered\"}", get(relay, "m1"));
            }
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                assertEquals("{\"message\":\"m1\",\"outcome\":\"delivered\"}", get(relay, "m1"));
            }
        }
    }

    private static boolean idle(RelayProcess relay) {
        try {
            return relay.idle();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Posted until it is acknowledged, and not again after that. */
    @Test
    void answersArePostedUntilTheyAreAcknowledged() throws Exception {
        BlockingQueue<String> posts = new LinkedBlockingQueue<>();
        int[] answers = {503, 204};
        HttpServer url = HttpServer.create(new InetSocketAddress(PlatformStub.LOOPBACK, 0), 0);
        int[] at = {0};
        url.createContext("/told", exchange -> {
            posts.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            exchange.sendResponseHeaders(answers[Math.min(at[0]++, 1)], -1);
            exchange.close();
        });
        url.start();
        try (HostStub host = new HostStub()) {
            hosts(row("a", host, 7));
            try (RelayProcess relay = StandaloneRelay.start(
                    config("answers: {post_to: '127.0.0.1:" + url.getAddress().getPort() + "', post_path: /told}\n"))) {
                assertEquals(202, post(relay, "m1", "pay", 7));
                host.call().reset();
                String told = "{\"message\":\"m1\",\"outcome\":\"given_up\"}\n";
                assertEquals(told, posts.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS));
                assertEquals(told, posts.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS));
                assertEquals(202, post(relay, "m2", "bill", 7));
                host.call().answer(HostStub.OK);
                assertEquals(
                        "{\"message\":\"m2\",\"outcome\":\"delivered\"}\n",
                        posts.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS));
            }
        } finally {
            url.stop(0);
        }
    }

    /** Guards rule 3: what is taken out gets nothing new, and what was bound for it alone has its end. */
    @Test
    void anEditTakesEffectWhileMessagesAreOut() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub();
                HostStub third = new HostStub()) {
            hosts(row("a", first, 7));
            try (RelayProcess relay = StandaloneRelay.start(config(""))) {
                // A destination may have one call out at first, and one more after each success.
                assertEquals(202, post(relay, "m0", "bill", 7));
                first.call().answer(HostStub.OK);
                await(() -> idle(relay));
                assertEquals(202, post(relay, "m1", "pay", 7));
                HostStub.Call out = first.call();
                hosts(row("b", second, 7) + row("d", third, 8));
                // The edit counts once its new destination is known.
                await(() -> postOk(relay, "m3", 8));
                third.call().answer(HostStub.OK);
                for (int i = 10; i < 15; i++) {
                    assertEquals(202, post(relay, "m" + i, "bill", 7));
                    HostStub.Call call = second.call();
                    assertEquals("m" + i, call.header("X-Request-ID"));
                    call.answer(HostStub.OK);
                }
                out.answer(HostStub.OK);
                await(() -> idle(relay));
                assertEquals("{\"message\":\"m1\",\"outcome\":\"delivered\"}", get(relay, "m1"));
                assertTrue(first.quiet(), "sent to a host that is taken out");
            }
        }
    }

    private boolean postOk(RelayProcess relay, String id, int destination) {
        try {
            return post(relay, id, "bill", destination) == 202;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** The last endpoint of a destination is taken out with an unsafe call out that then breaks: one final answer. */
    @Test
    void aDestinationsLastEndpointIsTakenOut() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub()) {
            hosts(row("a", first, 7));
            try (RelayProcess relay = StandaloneRelay.start(config(""))) {
                assertEquals(202, post(relay, "m1", "pay", 7));
                HostStub.Call out = first.call();
                hosts(row("b", second, 8));
                await(() -> postOk(relay, "m3", 8));
                second.call().answer(HostStub.OK);
                out.reset();
                await(() -> idle(relay));
                assertEquals("{\"message\":\"m1\",\"outcome\":\"given_up\"}", get(relay, "m1"));
                assertTrue(first.quiet() && second.quiet());
            }
        }
    }

    /** A bad file changes nothing; the last good one counts after a restart on it, too. */
    @ParameterizedTest
    @ValueSource(strings = {"name,address\nx", "", "name,address,port,destination\na,127.0.0.1,0,7\n", "\u0000"})
    void aBadFileIsHeldOff(String bad) throws Exception {
        try (HostStub host = new HostStub()) {
            hosts(row("a", host, 7));
            Path config = config("");
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                Files.writeString(folder.resolve("hosts.csv"), bad);
                assertEquals(202, post(relay, "m1", "bill", 7));
                host.call().answer(HostStub.OK);
                await(() -> idle(relay));
            }
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                assertEquals(202, post(relay, "m2", "bill", 7));
                assertEquals("m2", host.call().header("X-Request-ID"));
            }
        }
    }

    /**
     * Taken out and put back again at once, with a message waiting and one out: each has its one end, and its one call.
     */
    @Test
    void aHostThatIsTakenOutAndPutBackAtOnce() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub()) {
            hosts(row("a", first, 7) + row("b", second, 8));
            try (RelayProcess relay = StandaloneRelay.start(config(""))) {
                assertEquals(202, post(relay, "m0", "bill", 7));
                HostStub.Call out = first.call();
                assertEquals(202, post(relay, "m1", "bill", 7));
                for (int i = 0; i < 5; i++) {
                    hosts(row("b", second, 8) + row("c" + i, second, 9).replace("127.0.0.1", "127.0.0.9"));
                    String seen = "s" + i;
                    await(() -> postOk(relay, seen, 9));
                    hosts(row("a", first, 7) + row("b", second, 8));
                }
                out.answer(HostStub.OK);
                HostStub.Call next = first.call();
                assertEquals("m1", next.header("X-Request-ID"));
                next.answer(HostStub.OK);
                await(() -> state(relay, "m1").contains("delivered")
                        && state(relay, "m0").contains("delivered"));
                assertTrue(first.quiet());
            }
        }
    }

    /** A file that vanishes takes no host away; back again, it counts. */
    @Test
    void aFileThatVanishesAndReturns() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub()) {
            hosts(row("a", first, 7));
            try (RelayProcess relay = StandaloneRelay.start(config(""))) {
                Files.delete(folder.resolve("hosts.csv"));
                assertEquals(202, post(relay, "m1", "bill", 7));
                first.call().answer(HostStub.OK);
                hosts(row("b", second, 8));
                await(() -> postOk(relay, "m2", 8));
                assertEquals("m2", second.call().header("X-Request-ID"));
            }
        }
    }

    /** The same host in two files: one that drains it is enough, and it stays while one of them names it. */
    @Test
    void aHostInTwoFilesThatDisagree() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub();
                HostStub third = new HostStub()) {
            hosts(row("a", first, 7) + row("b", second, 8));
            Path more = folder.resolve("more.yaml");
            String listed = "- {name: a, address: 127.0.0.1, port: " + first.port() + ", destination: 7, state: %s}\n";
            Files.writeString(more, listed.formatted("ready"));
            Path config = config("");
            Files.writeString(
                    config,
                    Files.readString(config).replace("inventory: hosts.csv", "inventory: [hosts.csv, more.yaml]"));
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                assertEquals(202, post(relay, "m1", "bill", 7));
                first.call().answer(HostStub.OK);
                await(() -> idle(relay));
                // What comes with the drain in one edit tells that it was taken in.
                Files.writeString(
                        more,
                        listed.formatted("draining") + "- {name: c, address: 127.0.0.1, port: " + third.port()
                                + ", destination: 9}\n");
                await(() -> postOk(relay, "m2", 9));
                assertEquals("m2", third.call().header("X-Request-ID"));
                assertEquals(202, post(relay, "m3", "bill", 7));
                assertEquals(202, post(relay, "m4", "bill", 8));
                second.call().answer(HostStub.OK);
                await(() -> state(relay, "m4").contains("delivered"));
                assertTrue(first.quiet());
            }
            // Its other file is of no use at the next start: what that told last still drains it.
            Files.writeString(more, "- {");
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                assertEquals(202, post(relay, "m5", "bill", 7));
                assertEquals(202, post(relay, "m6", "bill", 8));
                assertEquals("m6", second.call().header("X-Request-ID"));
                assertTrue(first.quiet());
            }
        }
    }

    private String state(RelayProcess relay, String id) {
        try {
            return get(relay, id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** An agent beside a file: both lists count, the agent's holds while it is silent and over a restart. */
    @Test
    void anAgentBesideAFile() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub();
                HostStub third = new HostStub()) {
            Path config;
            try (PlatformStub platform = new PlatformStub(folder)) {
                hosts(row("a", first, 7));
                String agent = platform.configure(platform).get("EDGE_DISCOVERY");
                config = config("agent: " + agent + "\n");
                platform.changes.add(PlatformStub.list(
                        1,
                        true,
                        PlatformStub.host("b", second.port(), 8, "ready"),
                        PlatformStub.host("a", third.port(), 9, "ready")));
                try (RelayProcess relay = StandaloneRelay.start(config)) {
                    await(() -> postOk(relay, "m1", 8));
                    assertEquals("m1", second.call().header("X-Request-ID"));
                    assertEquals(202, post(relay, "m2", "bill", 7));
                    assertEquals("m2", first.call().header("X-Request-ID"));
                    assertEquals(404, post(relay, "m3", "bill", 9), "the file tells where a is");
                }
            }
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                assertEquals(202, post(relay, "m4", "bill", 8));
                await(() -> "m4".equals(next(second)));
            }
        }
    }

    private static String next(HostStub host) {
        try {
            return host.call().header("X-Request-ID");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** SIGHUP has the file read at once, in the middle of an edit too: half a file changes nothing. */
    @Test
    void aHangupAmidAnEdit() throws Exception {
        try (HostStub first = new HostStub();
                HostStub second = new HostStub()) {
            hosts(row("a", first, 7));
            Path config = config("");
            Files.writeString(config, Files.readString(config).replace("poll_ms: 10", "poll_ms: 60000, events: false"));
            try (RelayProcess relay = StandaloneRelay.start(config)) {
                Path file = folder.resolve("hosts.csv");
                String whole = HEAD + row("a", first, 7) + row("b", second, 8);
                for (int cut = HEAD.length(); cut < whole.length() - 4; cut += 3) {
                    Files.writeString(file, whole.substring(0, cut));
                    relay.hangup();
                }
                Files.writeString(file, whole);
                await(() -> {
                    relay.hangup();
                    return postOk(relay, "m1", 8);
                });
                assertEquals("m1", second.call().header("X-Request-ID"));
                assertEquals(202, post(relay, "m2", "bill", 7));
                assertEquals("m2", first.call().header("X-Request-ID"));
            }
        }
    }

    @Test
    void withNoFileAndNoLastGoodOneThereIsNoStart() throws Exception {
        Path config = config("");
        Exception none = assertThrows(
                Exception.class, () -> StandaloneRelay.start(config).close());
        assertTrue(none.getCause().getMessage().contains("no inventory"), none.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "zone: x|zone: expected one of default",
                "colour: red|is not known here",
                "guards: {remove_most: 2}|guards",
                "answers: {post_to: here}|expected an IP address and a port"
            })
    void aFaultyConfigurationIsTold(String more, String expected) throws IOException {
        Path config = Files.writeString(
                folder.resolve("relay.yaml"), "inventory: h.csv\nclasses: [{name: a}]\n" + more + "\n");
        Exception fault = assertThrows(brambletray.common.yaml.Faults.class, () -> Standalone.read(config, null));
        assertTrue(
                fault.getMessage().contains(expected) && fault.getMessage().contains("relay.yaml:3:"),
                fault.getMessage());
        assertEquals(2, StandaloneRelay.serve(config, null));
    }

    /** The example that goes with the program is one that works, but for its partners. */
    @Test
    void theExampleIsRight() throws Exception {
        for (String file : new String[] {"standalone.yaml", "inventory.csv"}) {
            Files.copy(Path.of("deploy", file), folder.resolve(file));
        }
        Files.writeString(
                folder.resolve("standalone.yaml"),
                Files.readString(folder.resolve("standalone.yaml")).replace("127.0.0.1:8080", "127.0.0.1:0"));
        try (RelayProcess relay = StandaloneRelay.start(folder.resolve("standalone.yaml"))) {
            assertEquals(404, post(relay, "m1", "bill-post", 5));
            assertEquals(202, post(relay, "m1", "bill-post", 1));
        }
    }
}
