package brambletray.relay.console;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** The calls that operators can make, as data. */
final class CallTable {
    /** Characters of a host's name at most. */
    private static final int ID_MOST = 256;

    /** Carries a call out; {@code id}: the host that it names, null where it names none. */
    interface Work {
        void run(Operations operations, String id, Consumer<CommandResponse> then);
    }

    /** One call: its path is as given, or that and a host's name behind it. */
    private record Call(HttpMethod method, String path, boolean names, Work work) {}

    private static final List<Call> CALLS = List.of(
            new Call(HttpMethod.GET, "/status", false, (operations, id, then) -> operations.ready(then)),
            new Call(HttpMethod.GET, "/status/metrics", false, (operations, id, then) -> operations.figures(then)),
            new Call(
                    HttpMethod.POST,
                    "/maintenance/enter/",
                    true,
                    (operations, id, then) -> operations.exclude(id, true, then)),
            new Call(
                    HttpMethod.POST,
                    "/maintenance/exit/",
                    true,
                    (operations, id, then) -> operations.exclude(id, false, then)),
            new Call(HttpMethod.POST, "/standby", false, (operations, id, then) -> operations.drain(true, then)),
            new Call(HttpMethod.POST, "/active", false, (operations, id, then) -> operations.drain(false, then)));

    private CallTable() {}

    /** Finds and carries out a call; what is no call is told so: 404, 405 or 400. */
    static void run(HttpMethod method, String uri, Operations operations, Consumer<CommandResponse> then) {
        String path = uri.split("\\?", 2)[0];
        for (Call call : CALLS) {
            if (call.names ? !path.startsWith(call.path) : !path.equals(call.path)) {
                continue;
            }
            if (!call.method.equals(method)) {
                then.accept(new CommandResponse(405, "expected " + call.method + " " + call.path));
                return;
            }
            String id = null;
            if (call.names) {
                id = name(path.substring(call.path.length()));
                if (id == null) {
                    then.accept(new CommandResponse(400, "expected a host's name behind " + call.path));
                    return;
                }
            }
            call.work.run(operations, id, then);
            return;
        }
        then.accept(new CommandResponse(404, "no such call"));
    }

    /** A name as it stands in a path; null for one that cannot be. */
    private static String name(String coded) {
        if (coded.isEmpty() || coded.length() > ID_MOST || coded.indexOf('/') >= 0) {
            return null;
        }
        try {
            // In a path a plus sign is itself.
            String name = QueryStringDecoder.decodeComponent(coded.replace("+", "%2B"), StandardCharsets.UTF_8);
            return name.chars().anyMatch(c -> c < ' ' || c == 0x7f || c == '/') ? null : name;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
