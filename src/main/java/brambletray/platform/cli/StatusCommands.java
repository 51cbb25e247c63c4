package brambletray.platform.cli;

import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.localsystem.JsonValues;
import brambletray.platform.localsystem.LocalSystemException;
import brambletray.platform.localsystem.OperatorClient;
import brambletray.platform.settings.Address;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The verbs that look at how the system stands, as a table or as JSON. */
final class StatusCommands {
    private static final String PATH_PREFIX = "/brambletray/system/";
    private static final int CALL_TIMEOUT_MS = 2_000;

    private StatusCommands() {}

    /** One that prints. */
    abstract static class StatusCommand extends RemoteCommand {
        @Option(name = "--json", usage = "prints JSON, as the members answer it")
        boolean json;

        final void print(PrintStream out, Object answer, TextTable table) {
            if (json) {
                byte[] bytes = JsonValues.bytes(answer);
                out.write(bytes, 0, bytes.length);
                out.println();
            } else {
                table.print(out);
            }
        }

        /** An answer of whoever knows; {@link LocalSystemException} where there is none. */
        final Map<String, Object> get(String path) {
            OperatorClient.Reply reply = operator().get(path);
            if (reply.status() != 200) {
                throw new LocalSystemException(
                        "refused",
                        reply.from() + " answered " + reply.status() + ' ' + JsonValues.reason(reply.body()),
                        null);
            }
            return JsonValues.object(reply.body());
        }

        /** What each of the members says of itself; null for one that says nothing. */
        final Map<String, Object> fromEachMember(String path) {
            OperatorClient operator = operator();
            Map<String, java.util.concurrent.CompletableFuture<OperatorClient.Reply>> asked = new LinkedHashMap<>();
            for (Address member : members()) {
                asked.put(member.toString(), operator.ask(member, PATH_PREFIX + path, CALL_TIMEOUT_MS));
            }
            Map<String, Object> answers = new LinkedHashMap<>();
            asked.forEach((member, reply) -> answers.put(
                    member,
                    reply.join().status() == 200
                            ? JsonValues.object(reply.join().body())
                            : null));
            return answers;
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object answer) {
        return (Map<String, Object>) answer;
    }

    /** Where each member stands. */
    static final class Views extends StatusCommand {
        @Override
        String purpose() {
            return "where each of the named members of the core stands; 1 where one doesn't answer, is ill or in no view in force";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            TextTable table = new TextTable(
                    "member", "node", "standing", "view", "in force", "members", "leader", "commit", "revision", "ill");
            int[] code = {OK};
            Map<String, Object> answers = fromEachMember("views");
            answers.forEach((member, answer) -> {
                if (answer == null) {
                    table.row(member, "-", "no answer");
                    code[0] = FAILED;
                    return;
                }
                Map<String, Object> one = object(answer);
                List<String> names = JsonValues.list(one, "members").stream()
                        .map(other -> JsonValues.text(other, "name"))
                        .toList();
                table.row(
                        member,
                        one.get("node"),
                        one.get("standing"),
                        one.get("view"),
                        one.get("in-force"),
                        String.join(" ", names),
                        one.get("leader"),
                        one.get("commit"),
                        one.get("revision"),
                        one.get("ill"));
                if (Boolean.TRUE.equals(one.get("ill"))
                        || !Boolean.TRUE.equals(one.get("in-force"))
                        || !"member".equals(one.get("standing"))) {
                    code[0] = FAILED;
                }
            });
            print(out, answers, table);
            return code[0];
        }
    }

    /** Who each member holds to have the duty. */
    static final class Roles extends StatusCommand {
        @Override
        String purpose() {
            return "who holds the helm, as each of the named members knows it; 1 where none of them knows a holder";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            TextTable table = new TextTable("member", "duty", "holder", "term", "known for s", "here");
            boolean[] holder = new boolean[1];
            Map<String, Object> answers = fromEachMember("duties");
            answers.forEach((member, answer) -> {
                if (answer == null) {
                    table.row(member, "-", "no answer");
                    return;
                }
                for (Map<String, Object> duty : JsonValues.list(object(answer), "duties")) {
                    table.row(
                            member,
                            duty.get("duty"),
                            duty.get("holder"),
                            duty.get("term"),
                            JsonValues.number(duty, "since-ms") / 1_000,
                            duty.get("here"));
                    holder[0] |= duty.get("holder") != null;
                }
            });
            print(out, answers, table);
            return holder[0] ? OK : FAILED;
        }
    }

    /** The roster. */
    static final class Edges extends StatusCommand {
        @Override
        String purpose() {
            return "the roster of edges at the helm, and the configuration that each was told";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            Map<String, Object> answer = get(PATH_PREFIX + "edges");
            TextTable table = new TextTable("edge", "zone", "address", "life", "state", "linked", "revision");
            for (Map<String, Object> edge : JsonValues.list(answer, "edges")) {
                table.row(
                        edge.get("name"),
                        edge.get("zone"),
                        edge.get("address"),
                        edge.get("life"),
                        edge.get("state"),
                        edge.get("linked"),
                        edge.get("revision"));
            }
            print(out, answer, table);
            return OK;
        }
    }

    /** The registry. */
    static final class Hosts extends StatusCommand {
        @Argument(metaVar = "SERVICE", usage = "only the hosts of this service")
        String service;

        @Override
        String purpose() {
            return "the hosts that the helm knows, of one service or of all";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            Map<String, Object> answer = get(PATH_PREFIX + "hosts" + (service == null ? "" : '/' + service));
            TextTable table = new TextTable("id", "service", "address", "zone", "seat", "worker", "state", "age s");
            for (Map<String, Object> host : JsonValues.list(answer, "hosts")) {
                table.row(
                        host.get("id"),
                        host.get("service"),
                        host.get("address"),
                        host.get("zone"),
                        host.get("seat"),
                        host.get("worker"),
                        host.get("state"),
                        JsonValues.number(host, "age-ms") / 1_000);
            }
            print(out, answer, table);
            return OK;
        }
    }

    /** Homes, reckoned from the roster as edges do. */
    static final class Homes extends StatusCommand {
        @Argument(metaVar = "SERVICE", usage = "only this service")
        String service;

        @Override
        String purpose() {
            return "which edge is home of each service, in each zone; (root) marks the home that lends to the other zones";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            List<Peer> peers = new ArrayList<>();
            for (Map<String, Object> edge : JsonValues.list(get(PATH_PREFIX + "edges"), "edges")) {
                peers.add(new Peer(
                        JsonValues.text(edge, "name"),
                        JsonValues.text(edge, "zone"),
                        JsonValues.text(edge, "address"),
                        0,
                        "in".equals(edge.get("state")) ? Peer.ACTIVE : Peer.LEAVING));
            }
            HomeAssignment homes = new HomeAssignment(new Roster(1, 1, peers));
            List<String> header = new ArrayList<>(List.of("service"));
            header.addAll(homes.zones());
            TextTable table = new TextTable(header.toArray(String[]::new));
            Map<String, Object> answer = new LinkedHashMap<>();
            for (Map<String, Object> one : JsonValues.list(get("/brambletray/configuration/show"), "services")) {
                String name = JsonValues.text(one, "name");
                if (service == null || service.equals(name)) {
                    Map<String, Object> row = new LinkedHashMap<>();
                    List<Object> cells = new ArrayList<>(List.of(name));
                    for (String zone : homes.zones()) {
                        String home = homes.homeOf(name, zone).name();
                        row.put(zone, home);
                        cells.add(zone.equals(homes.rootZone(name)) ? home + " (root)" : home);
                    }
                    row.put("root", homes.rootZone(name));
                    answer.put(name, row);
                    table.row(cells.toArray());
                }
            }
            print(out, answer, table);
            return OK;
        }
    }
}
