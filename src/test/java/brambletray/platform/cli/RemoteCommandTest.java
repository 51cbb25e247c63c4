package brambletray.platform.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.operations.OperationKey;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verbs that call members, against members that answer as they are told: loopback, ports of the system's choice. */
class RemoteCommandTest {
    private static final String CONFIGURATION =
            "{\"revision\":3,\"routes\":[],\"services\":[{\"name\":\"tea\"},{\"name\":\"milk\"}]}";

    @TempDir
    Path dir;

    private final HttpServer one = server();
    private final HttpServer two = server();
    private final Map<String, Object[]> answers = new HashMap<>();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private HttpServer server() {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
            server.createContext("/", this::answer);
            server.start();
            return server;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String at(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private String name(HttpExchange call) {
        return call.getLocalAddress().getPort() == one.getAddress().getPort() ? "one" : "two";
    }

    private void answer(HttpExchange call) throws IOException {
        call.getRequestBody().readAllBytes();
        String path = call.getRequestURI().getPath();
        String what = name(call) + ' ' + path.substring(path.indexOf('/', 1) + 1);
        String base = call.getRequestHeaders().getFirst("Brambletray-Base-Revision");
        asked.add(what + (base == null ? "" : " on " + base));
        Object[] answer = answers.getOrDefault(what, new Object[] {404, ""});
        int status = (Integer) answer[0];
        if (status == 307) {
            call.getResponseHeaders().set("Location", "http://" + answer[1] + path);
        }
        byte[] body = status == 307 ? new byte[0] : answer[1].toString().getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        call.getResponseBody().write(body);
        call.close();
    }

    private void on(String what, int status, String body) {
        answers.put(what, new Object[] {status, body});
    }

    private int run(String... args) {
        return Commands.run(args, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String said() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @AfterEach
    void stop() {
        one.stop(0);
        two.stop(0);
    }

    @Test
    void aWholeConfigurationIsDeliveredOnTopOfTheOneShown() throws IOException {
        Path file = Files.writeString(dir.resolve("c"), CONFIGURATION);
        on("one configuration/show", 503, "");
        on("two configuration/show", 200, "{\"revision\":2}");
        on("one configuration/replace", 307, at(two));
        on("two configuration/replace", 200, "{}");
        assertEquals(0, run("replace", file.toString(), "--control", at(one) + ',' + at(two)));
        assertEquals(
                List.of(
                        "one configuration/show",
                        "two configuration/show",
                        "one configuration/replace on 2",
                        "two configuration/replace on 2"),
                asked);
        assertEquals("taken by " + at(two) + ", on top of revision 2\n", said());
    }

    @Test
    void refusalsAreVerdictsAndInvalidOnesBadInput() throws IOException {
        Path file = Files.writeString(dir.resolve("c"), CONFIGURATION);
        on(
                "one configuration/modify",
                412,
                "{\"error\":\"controlplane.stale\",\"reason\":\"the current revision is 8\"}");
        assertEquals(1, run("modify", file.toString(), "--base", "7", "--control", at(one)));
        assertTrue(err.toString().endsWith("412 controlplane.stale: the current revision is 8\n"), err.toString());
        on("one configuration/modify", 400, "{\"error\":\"configuration.missing\",\"reason\":\"routes: expected\"}");
        assertEquals(2, run("modify", file.toString(), "--base", "7", "--control", at(one)));
    }

    @Test
    void membersAreAskedOneByOne() {
        on(
                "one system/views",
                200,
                "{\"node\":\"k1\",\"standing\":\"member\",\"view\":4,\"in-force\":true,\"leader\":\"k1\",\"commit\":5,"
                        + "\"ill\":false,\"revision\":3,\"members\":[{\"name\":\"k1\"},{\"name\":\"k2\"}]}");
        assertEquals(0, run("views", "--control", at(one)));
        assertTrue(
                said().lines()
                        .skip(1)
                        .findFirst()
                        .orElse("")
                        .matches(at(one) + " +k1 +member +4 +true +k1 k2 +k1 +5 +3 +false"),
                said());
        on("two system/views", 200, "{\"node\":\"k2\",\"standing\":\"stopped\",\"in-force\":true,\"ill\":false}");
        assertEquals(1, run("views", "--control", at(one) + ',' + at(two)), "one of them is in no view in force");
        out.reset();
        on("two system/views", 500, "");
        assertEquals(1, run("views", "--json", "--control", at(two)));
        assertEquals("{\"" + at(two) + "\":null}\n", said());
        on("one system/duties", 200, "{\"duties\":[{\"duty\":\"helm\",\"holder\":null,\"term\":0}]}");
        assertEquals(1, run("duties", "--control", at(one)), "vacant");
    }

    @Test
    void operationsAreCountedAndLookedUpAtEachMember() {
        on(
                "one system/operations",
                200,
                "{\"node\":\"k1\",\"claims\":3,\"remembered\":5,"
                        + "\"waiting\":2,\"batches\":1,\"oldest-remaining-ms\":41500}");
        assertEquals(0, run("operations", "--control", at(one)));
        assertTrue(said().contains("k1    3       5           2        1        41"), said());
        out.reset();
        String path =
                "one system/operations/" + OperationKey.of("acme", "pay-1").hex();
        on(
                path,
                200,
                "{\"node\":\"k1\",\"claimed\":true,\"edge\":\"e1\",\"life\":\"b1\","
                        + "\"sequence\":7,\"remaining-ms\":9000}");
        assertEquals(0, run("operations", "--tenant", "acme", "--key", "pay-1", "--control", at(one)));
        assertTrue(said().contains("k1    e1    b1    7      9"), said());
        out.reset();
        on(path, 200, "{\"node\":\"k1\",\"claimed\":false}");
        on("two system/operations/" + OperationKey.of("acme", "pay-1").hex(), 503, "");
        assertEquals(1, run("operations", "--tenant", "acme", "--key", "pay-1", "--control", at(one) + ',' + at(two)));
        assertTrue(said().contains("not claimed") && said().contains("no answer"), said());
    }

    @Test
    void whatTheCoordinatorKnowsIsAskedThere() {
        on("one system/hosts/tea", 307, at(two));
        on(
                "two system/hosts/tea",
                200,
                "{\"hosts\":[{\"id\":\"i-1\",\"service\":\"tea\",\"state\":\"up\",\"age-ms\":2500}]}");
        assertEquals(0, run("hosts", "tea", "--control", at(one)));
        assertTrue(said().contains("i-1  tea"), said());
        StringBuilder edges = new StringBuilder("{\"edges\":[{\"name\":\"e1\",\"zone\":\"east\",\"state\":\"in\"}");
        for (int i = 2; i <= 9; i++) {
            edges.append(",{\"name\":\"e")
                    .append(i)
                    .append("\",\"zone\":\"west\",\"state\":\"")
                    .append(i == 2 ? "in" : "leaving")
                    .append("\"}");
        }
        on("one system/edges", 200, edges.append("]}").toString());
        on("one configuration/show", 200, CONFIGURATION);
        out.reset();
        assertEquals(0, run("homes", "tea", "--json", "--control", at(one)));
        assertTrue(said().startsWith("{\"tea\":{\"east\":\"e1\",\"west\":\"e2\",\"root\":"), said());
    }

    @Test
    void whyATenantIsRefusedIsShown() {
        on(
                "one system/tenants",
                200,
                "{\"tenants\":[{\"name\":\"a\",\"state\":\"in-debt\",\"tokens\":-3,\"refused\":7},{\"name\":\"b\"}]}");
        assertEquals(0, run("tenants", "a", "--control", at(one)));
        assertTrue(said().contains("in-debt") && !said().contains("b "), said());
        assertEquals(1, run("tenants", "none", "--control", at(one)), "no such tenant");
    }
}
