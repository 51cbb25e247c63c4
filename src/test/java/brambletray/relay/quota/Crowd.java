package brambletray.relay.quota;

import brambletray.relay.admission.QuotaFile;
import brambletray.relay.quota.Member.Asked;
import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Member.Limit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Members' messages in virtual time: each asks at a rate, and asks again after the time that it is told. Keeps all that
 * was taken on, and checks it by counting, without any of the windows that the code counts in.
 */
final class Crowd {
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;

    /** What was taken on, by the path of its member. */
    record Taken(long at, String path, long bytes) {}

    private record Due(long at, long number, Source source, Asked message, long tries) {}

    /** One client of a member. */
    static final class Source {
        final String tenant;
        /** Messages a second; 0 for none just now. */
        double perSecond;

        long bytes = 100;
        long heldFor;
        long asked;
        long taken;
        long refused;
        long waited;
        long next;

        Source(String tenant, double perSecond) {
            this.tenant = tenant;
            this.perSecond = perSecond;
        }
    }

    final Quotas quotas;
    Member tree;
    final List<Taken> all = new ArrayList<>();
    final Map<String, Source> sources = new HashMap<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final PriorityQueue<Object[]> ends = new PriorityQueue<>((a, b) -> Long.compare((long) a[0], (long) b[0]));
    private final java.util.Set<String> waiting = new java.util.HashSet<>();
    final List<String> recalled = new ArrayList<>();
    long now = 10 * SECOND;
    private long number;
    /** A client asks again so often at most; then its message is lost. */
    int retries = 20;

    Crowd(String yaml) throws Exception {
        tree = QuotaFile.parse("quotas.yaml", yaml);
        quotas = new Quotas(tree);
    }

    Crowd(Member tree) {
        this.tree = tree;
        quotas = new Quotas(tree);
    }

    Source source(String tenant, double perSecond) {
        Source s = sources.computeIfAbsent(tenant, t -> new Source(t, 0));
        s.perSecond = perSecond;
        if (s.next < now && perSecond > 0) {
            s.next = now;
            due.add(new Due(now, number++, s, null, 0));
        }
        return s;
    }

    /** Lets time pass. */
    void pass(long span) {
        long until = now + span;
        while (!due.isEmpty() && due.peek().at <= until) {
            Due d = due.poll();
            now = Math.max(now, d.at);
            end();
            if (d.message == null) {
                if (d.source.perSecond <= 0) {
                    d.source.next = 0;
                    continue;
                }
                d.source.next = now + Math.max(1, (long) (SECOND / d.source.perSecond));
                due.add(new Due(d.source.next, number++, d.source, null, 0));
                d.source.asked++;
                ask(d.source, new Asked("m" + number++, d.source.tenant, "c", 1, d.source.bytes), 0);
            } else {
                ask(d.source, d.message, (int) d.tries);
            }
        }
        now = until;
        end();
    }

    private void end() {
        while (!ends.isEmpty() && (long) ends.peek()[0] <= now) {
            quotas.ended((String) ends.poll()[1]);
        }
    }

    private void ask(Source s, Asked m, int tries) {
        Verdict v = waiting.contains(m.id()) ? quotas.again(now, m.id()) : quotas.ask(now, m);
        if (v instanceof Verdict.Waits w) {
            s.waited += waiting.add(m.id()) ? 1 : 0;
            due.add(new Due(now + Math.max(1, w.after()), number++, s, m, 0));
            return;
        }
        waiting.remove(m.id());
        if (v instanceof Verdict.Refused r) {
            s.refused++;
            recalled.addAll(r.recall());
            r.recall().forEach(quotas::ended);
            if (r.after() != Window.NEVER && tries < retries) {
                due.add(new Due(now + Math.max(1, r.after()), number++, s, m, tries + 1));
            }
            return;
        }
        s.taken++;
        all.add(new Taken(now, quotas.pathOf(m), m.bytes()));
        ends.add(new Object[] {now + s.heldFor, m.id()});
    }

    /** Messages of a path, and of all below it, taken on in [from, until). */
    long taken(String path, long from, long until) {
        return all.stream()
                .filter(t -> t.at >= from && t.at < until && (t.path + "/").startsWith(path + "/"))
                .count();
    }

    /** Violations: windows of any limit, wherever they begin, that hold more than it allows. */
    List<String> violations() {
        List<String> found = new ArrayList<>();
        check(tree, found);
        return found;
    }

    private void check(Member m, List<String> found) {
        List<Taken> own = all.stream()
                .filter(t -> (t.path + "/").startsWith(m.path() + "/"))
                .toList();
        for (Limit l : m.limits()) {
            long sum = 0;
            int from = 0;
            for (int i = 0; i < own.size(); i++) {
                sum += l.dimension() == Dimension.MESSAGES ? 1 : own.get(i).bytes;
                while (own.get(from).at <= own.get(i).at - l.window()) {
                    sum -= l.dimension() == Dimension.MESSAGES ? 1 : own.get(from).bytes;
                    from++;
                }
                if (sum > l.amount()) {
                    found.add(m.path() + ": " + sum + " of " + Quotas.words(l) + " at " + own.get(i).at);
                }
            }
        }
        m.members().forEach(b -> check(b, found));
    }
}
