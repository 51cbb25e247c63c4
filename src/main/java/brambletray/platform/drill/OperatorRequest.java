package brambletray.platform.drill;

import java.nio.charset.StandardCharsets;

/** One order of an operator: a change with a number of its own, which says on whose change it builds. */
final class OperatorRequest {
    enum Kind {
        VALID,
        INVALID
    }

    final int id;
    final Kind kind;
    /** The change that it builds on; 0: none. */
    final int parent;

    final long base;
    final long revision;
    final boolean replacesAll;
    final byte[] body;
    /** Course ms; -1: not yet. */
    long sentAt = -1;

    long ackedAt = -1;
    long refusedAt = -1;
    int refusal;
    /** When the try that was refused had been sent. */
    long refusedTryAt;

    private OperatorRequest(int id, Kind kind, int parent, long base, long revision, boolean replacesAll, String text) {
        this.id = id;
        this.kind = kind;
        this.parent = parent;
        this.base = base;
        this.revision = revision;
        this.replacesAll = replacesAll;
        this.body = text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static String route(String name, String prefix, String service, int timeout) {
        return "{'name':'" + name + "','host':'h.example','path-prefix':'" + prefix
                + "','route-type':'idempotent','timeout-ms':" + timeout + ",'target-ms':400,'priority':2,'service':'"
                + service + "','retry-count':2}";
    }

    private static final String SERVICES =
            "'services':[{'name':'a','health-path':null,'max-connections':72,'memory-mb':512,'boot-ms':750,'max-concurrency':4}]";

    /** {@code ballast}: bytes of further routes, about. */
    static OperatorRequest valid(int id, int parent, long base, long revision, boolean replacesAll, int ballast) {
        String mark = route("mark", "/o" + id + "/p" + parent + "/", "a", 2_500);
        if (!replacesAll) {
            return new OperatorRequest(
                    id,
                    Kind.VALID,
                    parent,
                    base,
                    revision,
                    false,
                    "{'revision':" + revision + ",'upsert':{'routes':[" + mark + "]}}");
        }
        StringBuilder routes = new StringBuilder(mark);
        for (int i = 0; routes.length() < ballast; i++) {
            routes.append(',').append(route("b" + i, "/b" + i + "/" + id + "/", "a", 2_500));
        }
        return new OperatorRequest(
                id,
                Kind.VALID,
                parent,
                base,
                revision,
                true,
                "{'revision':" + revision + ",'routes':[" + routes + "]," + SERVICES + "}");
    }

    /** {@code flaw}: which of the faults it has. */
    static OperatorRequest invalid(int id, int parent, long base, int flaw) {
        long revision = base + 1;
        String prefix = "/o" + id + "/p" + parent + "/";
        String text = switch (flaw % 6) {
            case 0 -> "{'revision':" + base + ",'routes':[" + route("mark", prefix, "a", 2_500) + "]," + SERVICES + "}";
            case 1 ->
                "{'revision':" + revision + ",'routes':[" + route("mark", prefix, "nobody", 2_500) + "]," + SERVICES
                        + "}";
            case 2 -> "{'revision':" + revision + ",'routes':[" + route("mark", prefix, "a", 0) + "]," + SERVICES + "}";
            case 3 ->
                "{'revision':" + revision + ",'routes':[" + route("mark", prefix, "a", 9) + ","
                        + route("twin", prefix, "a", 9) + "]," + SERVICES + "}";
            case 4 -> "{'revision':" + revision + ",'routes':[" + route("mark", prefix, "a", 2_500);
            default -> "not JSON at all";
        };
        return new OperatorRequest(id, Kind.INVALID, parent, base, revision, true, text);
    }

    boolean ended() {
        return ackedAt >= 0 || refusedAt >= 0;
    }

    String path() {
        return "/brambletray/configuration/" + (replacesAll ? "replace" : "modify");
    }

    @Override
    public String toString() {
        return "o" + id + "(" + kind + (replacesAll ? " replace " : " modify ") + revision + " on " + base + " by o"
                + parent + ")";
    }
}
