package brambletray.platform.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.drill.KeyedTrafficCluster.Answer;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Rules TWICE and MIXED in random histories: API keys pass from tenant to tenant while edges stand still or restart,
 * the coordinator stands still or is killed, and clients repeat operations at all edges.
 *
 * <p>Each operation belongs to a key or to a tenant. One of a key is sent with that key, whoever holds it. One of a
 * tenant is sent with the tenant's own key, or with a key that was passed on to it and stays for as long as the request
 * may be on its way.
 */
class OperationTenantChangeHistoriesTest {
    /** {@code -Doperations.tenant-seeds=N} plays more; {@code -Doperations.first-tenant-seed=N} begins there. */
    private static final int SEEDS = Integer.getInteger("operations.tenant-seeds", 4);

    private static final int FIRST_SEED = Integer.getInteger("operations.first-tenant-seed", 1);

    private static final int HISTORY_MS = 20_000;
    private static final int STEP_MS = 10;
    private static final int TENANTS = 3;
    private static final int PASSED_KEYS = 3;
    private static final int OPERATIONS_AT_ONCE = 12;
    /** More than a request may take: the longest pause, and the time until its client gives up. */
    private static final int SETTLED_MS = 3_500;

    private static final int MIN_BETWEEN_CHANGES_MS = 2 * SETTLED_MS;
    private static final int MAX_PAUSE_MS = 1_500;
    private static final int RESTART_MS = 300;

    private record Operation(String name, String key, String tenant) {}

    /** One history; what was seen is in the fields. */
    private static final class History {
        private final long seed;
        private final Random random;
        private final KeyedTrafficCluster traffic;
        private final Map<String, String> tenantsByPassedKey = new LinkedHashMap<>();
        private final List<Operation> operations = new ArrayList<>();
        private final Map<Operation, List<Answer>> answers = new LinkedHashMap<>();
        private final List<String> violations = new ArrayList<>();
        private long nextChangeAtMs;
        private long settledAtMs;
        private int runs;
        private int repeatsAnswered;

        History(long seed) {
            this.seed = seed;
            random = new Random(seed);
            traffic = new KeyedTrafficCluster(seed);
        }

        void play() {
            for (int i = 0; i < PASSED_KEYS; i++) {
                tenantsByPassedKey.put("passed-" + i, tenant(i % TENANTS));
            }
            traffic.start(tenants(), ownKey(tenant(0)));
            long startedAtMs = traffic.cluster.now();
            settledAtMs = startedAtMs;
            nextChangeAtMs = startedAtMs + random.nextInt(2_000);
            while (traffic.cluster.now() < startedAtMs + HISTORY_MS) {
                step();
                traffic.pass(STEP_MS);
            }
            traffic.pass(SETTLED_MS + MAX_PAUSE_MS);
            answers.forEach(this::check);
            traffic.close();
        }

        private void step() {
            long nowMs = traffic.cluster.now();
            if (nowMs >= nextChangeAtMs && traffic.isChangeAcknowledged()) {
                passKeyOn(nowMs);
            }
            if (random.nextInt(60) == 0) {
                disturbEdge(traffic.cluster.edges.get(random.nextInt(traffic.cluster.edges.size())));
            }
            if (random.nextInt(80) == 0) {
                cutLink();
            }
            if (random.nextInt(500) == 0) {
                disturbCoordinator();
            }
            if (random.nextBoolean()) {
                attempt(nowMs);
            }
        }

        private static String tenant(int number) {
            return "tenant-" + number;
        }

        private static String ownKey(String tenant) {
            return "own-key-of-" + tenant;
        }

        private String tenants() {
            List<String> all = new ArrayList<>();
            for (int i = 0; i < TENANTS; i++) {
                String name = tenant(i);
                List<String> keys = new ArrayList<>(List.of(ownKey(name)));
                tenantsByPassedKey.forEach((key, holder) -> {
                    if (holder.equals(name)) {
                        keys.add(key);
                    }
                });
                all.add(KeyedTrafficCluster.tenant(name, keys));
            }
            return String.join(",", all);
        }

        private void passKeyOn(long nowMs) {
            if (random.nextInt(4) > 0) {
                pause(traffic.cluster.edges.get(random.nextInt(traffic.cluster.edges.size())));
            }
            tenantsByPassedKey.put("passed-" + random.nextInt(PASSED_KEYS), tenant(random.nextInt(TENANTS)));
            traffic.requestTenants(tenants());
            nextChangeAtMs = nowMs + MIN_BETWEEN_CHANGES_MS + random.nextInt(1_000);
        }

        private void disturbEdge(EdgeNode edge) {
            if (random.nextInt(6) == 0) {
                edge.kill();
                traffic.cluster.after(RESTART_MS, edge::start);
            } else {
                pause(edge);
            }
        }

        private void pause(EdgeNode edge) {
            edge.freeze(true);
            traffic.cluster.after(1 + random.nextInt(MAX_PAUSE_MS), () -> edge.freeze(false));
        }

        /** Cuts a link of an edge, one way or both, to another edge or to a member of the core. */
        private void cutLink() {
            SimulatedCluster cluster = traffic.cluster;
            InetAddress edge = cluster.edges.get(random.nextInt(cluster.edges.size())).address;
            List<InetAddress> others = new ArrayList<>();
            cluster.cores.forEach(core -> others.add(core.address));
            cluster.edges.forEach(other -> others.add(other.address));
            others.remove(edge);
            InetAddress other = others.get(random.nextInt(others.size()));
            boolean isToEdge = random.nextBoolean();
            InetAddress from = isToEdge ? other : edge;
            InetAddress to = isToEdge ? edge : other;
            boolean isBothWays = random.nextBoolean();
            cluster.cut(from, to);
            if (isBothWays) {
                cluster.cut(to, from);
            }
            cluster.after(1 + random.nextInt(MAX_PAUSE_MS), () -> {
                cluster.join(from, to);
                if (isBothWays) {
                    cluster.join(to, from);
                }
            });
        }

        private void disturbCoordinator() {
            CoreNode coordinator = traffic.cluster.coordinator();
            if (coordinator == null || traffic.cluster.cores.stream().anyMatch(core -> !core.running())) {
                return;
            }
            if (random.nextBoolean()) {
                coordinator.freeze(true);
                traffic.cluster.after(1 + random.nextInt(MAX_PAUSE_MS), () -> coordinator.freeze(false));
            } else {
                coordinator.kill(random.nextBoolean());
                traffic.cluster.after(RESTART_MS, coordinator::start);
            }
        }

        private void attempt(long nowMs) {
            if (operations.size() < OPERATIONS_AT_ONCE || random.nextInt(8) == 0) {
                operations.add(newOperation());
            }
            int recent = Math.min(operations.size(), OPERATIONS_AT_ONCE);
            Operation operation = operations.get(operations.size() - 1 - random.nextInt(recent));
            EdgeNode edge = traffic.cluster.edges.get(random.nextInt(traffic.cluster.edges.size()));
            String credential = operation.key() == null ? keyOf(operation.tenant(), nowMs) : operation.key();
            String route = random.nextInt(4) == 0 ? "open" : "topup";
            answers.computeIfAbsent(operation, none -> new ArrayList<>())
                    .add(traffic.attempt(edge, route, credential, operation.name()));
        }

        private Operation newOperation() {
            String name = "op-" + operations.size();
            return random.nextBoolean()
                    ? new Operation(name, "passed-" + random.nextInt(PASSED_KEYS), null)
                    : new Operation(name, null, tenant(random.nextInt(TENANTS)));
        }

        /** A key of this tenant: of those that are passed on only one that stays for long enough. */
        private String keyOf(String tenant, long nowMs) {
            boolean staysForLong = traffic.isChangeAcknowledged() && nowMs + SETTLED_MS < nextChangeAtMs;
            if (staysForLong && random.nextBoolean()) {
                for (Map.Entry<String, String> held : tenantsByPassedKey.entrySet()) {
                    if (held.getValue().equals(tenant)) {
                        return held.getKey();
                    }
                }
            }
            return ownKey(tenant);
        }

        private void check(Operation operation, List<Answer> received) {
            List<RecordingHosts.Run> ran = traffic.hosts.runs(operation.name());
            runs += ran.size();
            if (ran.size() > 1) {
                violations.add("seed " + seed + ", TWICE: " + operation + " " + ran);
            }
            for (Answer answer : received) {
                if (answer.status != 200) {
                    continue;
                }
                repeatsAnswered++;
                if (ran.isEmpty() || !answer.body.equals("done by " + ran.get(0).attempt())) {
                    violations.add("seed " + seed + ", MIXED: " + operation + " " + answer + " " + ran);
                }
            }
        }
    }

    @Test
    void operationsRunOnceWhileKeysArePassedOn() {
        List<String> violations = new ArrayList<>();
        int operations = 0;
        int runs = 0;
        int answers = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            History history = new History(seed);
            history.play();
            violations.addAll(history.violations);
            operations += history.operations.size();
            runs += history.runs;
            answers += history.repeatsAnswered;
        }
        System.out.println("tenant changes: " + SEEDS + " histories from seed " + FIRST_SEED + ", " + operations
                + " operations, " + runs + " runs, " + answers + " answers, " + violations.size() + " violations");
        assertEquals(List.of(), violations);
        assertTrue(runs > operations / 2, "most operations run: " + runs + " of " + operations);
        assertTrue(answers > 2 * runs, "most repeats are answered: " + answers + " for " + runs + " runs");
    }
}
