package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimChannel;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One random scenario of an edge's proxy: the production classes from the client's socket to the host's on a simulated
 * network and clock. Clients, the broker and hosts act at random within the documented protocol and inject faults. The
 * same seed gives the same scenario.
 */
final class RandomExchanges implements SlotBroker {
    private static final Address FRONT_END = new Address("10.0.0.1", 8241);
    private static final int MAX_HOSTS = 3;
    /** Routes have a {@code retry-count} from 0 to this. */
    private static final int MAX_RETRY_COUNT = 3;

    private record PendingRequest(SlotRequest request, SlotRequester requester) {}

    private final SplittableRandom random;
    private final Simulation simulation;
    private final Machine edge;
    private final RequestRouter router;
    private final HostConnectionPools connectionPools;
    private final RequestCounters counters = new RequestCounters();
    private final ExchangeChecker checker = new ExchangeChecker();
    private final List<RandomClient> clients = new ArrayList<>();
    private final List<RandomHost> hosts = new ArrayList<>();
    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
    /** Number of held slots by request id. */
    private final Map<Long, Integer> heldSlots = new HashMap<>();

    private final int steps;
    private final int maxPauseMs;
    private final int duplicateGrantPercent;
    private int requestCount;

    RandomExchanges(long seed, int steps) {
        this.steps = steps;
        random = new SplittableRandom(seed);
        simulation = new Simulation(seed, 1_900_000_000_000L);
        simulation.network().usual(new SimNetwork.Way(random.nextLong(50_000, 1_500_000), 0.5));
        if (random.nextBoolean()) {
            simulation.network().cutStreams(0.3, seed);
        }
        if (random.nextInt(4) == 0) {
            checker.closesArriveSoon = false;
            simulation.network().window(200 + random.nextInt(2_000));
        }
        maxPauseMs = 5 + random.nextInt(60);
        duplicateGrantPercent = random.nextInt(20);
        edge = machine(FRONT_END.host());
        connectionPools = new HostConnectionPools(edge, 4_000, counters);
        // With a small memory budget some responses are streamed.
        boolean small = random.nextInt(3) == 0;
        long memory = small ? 4_000 + random.nextInt(8_000) : 48 << 20;
        Configuration configuration = configuration();
        router = new RequestRouter(
                edge,
                "edge-1",
                "zone-1",
                () -> configuration,
                this,
                QuotaGate.UNLIMITED,
                OperationGate.UNCLAIMED,
                ip -> false,
                connectionPools,
                counters,
                memory,
                seed);
        new FrontEndServer(edge, router, 100).listen(FRONT_END);
        int faultPercent = 10 + random.nextInt(70);
        int count = 2 + random.nextInt(MAX_HOSTS - 1);
        for (int i = 0; i < count; i++) {
            String ip = "10.0.1." + (i + 1);
            hosts.add(new RandomHost(
                    "h" + i,
                    machine(ip),
                    new InetSocketAddress(ip, 8080),
                    checker,
                    random.split(),
                    faultPercent,
                    small ? 2 : 6));
        }
        for (int i = 0; i < 2; i++) {
            clients.add(new RandomClient(
                    machine("10.0.2." + (i + 1)),
                    new InetSocketAddress(FRONT_END.host(), FRONT_END.port()),
                    checker,
                    random.split()));
        }
    }

    private Machine machine(String ip) {
        return simulation.machine(inet(ip));
    }

    private static InetAddress inet(String ip) {
        try {
            return InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(ip, e);
        }
    }

    private static Configuration configuration() {
        String route =
                "{'name':'%1$s','host':'h.example','path-prefix':'/%1$s/','route-type':'%2$s','timeout-ms':2000,'target-ms':400,"
                        + "'priority':1,'service':'s','retry-count':%3$d}";
        List<String> routes = new ArrayList<>();
        for (int count = 0; count <= MAX_RETRY_COUNT; count++) {
            routes.add(route.formatted("r" + count, "idempotent", count));
            routes.add(route.formatted("n" + count, "non_idempotent", count));
        }
        return Configuration.read(("{'revision':1,'routes':[" + String.join(",", routes)
                        + "],'services':[{'name':'s','health-path':null,'max-connections':8,'protocol':'h1','tls-mode':false,'memory-mb':128,"
                        + "'boot-ms':500,'max-concurrency':4}],'limits':{'max-header-bytes':2048,'max-body-bytes':40000,'header-timeout-ms':3000,"
                        + "'idle-timeout-ms':15000}}")
                .replace('\'', '"')
                .getBytes(StandardCharsets.UTF_8));
    }

    // ---- The broker -----------------------------------------------------------------------------
    @Override
    public void requestSlot(SlotRequest request, SlotRequester requester) {
        PendingRequest pending = new PendingRequest(request, requester);
        pendingRequests.add(pending);
        if (random.nextInt(3) > 0) {
            answer(pending);
        } else {
            edge.loop()
                    .schedule(
                            () -> answer(pending),
                            random.nextInt(random.nextInt(8) == 0 ? 900 : 30),
                            TimeUnit.MILLISECONDS);
        }
    }

    private void answer(PendingRequest pending) {
        if (!pendingRequests.remove(pending)) {
            return;
        }
        if (random.nextInt(15) == 0) {
            pending.requester().onRefused(random.nextInt(300) - 1);
            return;
        }
        grant(pending);
        if (random.nextInt(100) < duplicateGrantPercent) {
            // A duplicate grant: the home edge lost its state, or the slot was requested again.
            edge.loop().schedule(() -> grant(pending), random.nextInt(40), TimeUnit.MILLISECONDS);
        }
    }

    private void grant(PendingRequest pending) {
        // At times an instance that had the request before: it may be the only one left.
        String previousInstance = pending.request().excludedInstances().isEmpty() || random.nextBoolean()
                ? null
                : pending.request().excludedInstances().get(0);
        RandomHost host = previousInstance == null ? pick(hosts) : hosts.get(previousInstance.charAt(1) - '0');
        // The home edge holds one slot per request, however often it grants it.
        heldSlots.put(pending.request().id(), 1);
        pending.requester()
                .onGranted(new SlotGrant(
                        pending.request().id(),
                        host.name,
                        "10.0.1." + (host.name.charAt(1) - '0' + 1) + ":8080",
                        random.nextInt(6) == 0));
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs) {
        returnSlot(grant.requestId());
    }

    @Override
    public void cancelRequest(long requestId) {
        if (!pendingRequests.removeIf(pending -> pending.request().id() == requestId)) {
            returnSlot(requestId);
        }
    }

    private void returnSlot(long requestId) {
        int left = heldSlots.merge(requestId, -1, Integer::sum);
        if (left < 0) {
            checker.addViolation("PLACE", "the slot of request " + requestId + " is released twice");
        }
    }

    // ---- Random events --------------------------------------------------------------------------
    /** Runs the scenario; returns the violations, none if all rules hold. */
    List<String> play() {
        for (int step = 0; step < steps && checker.violations().isEmpty(); step++) {
            randomEvent();
            run(random.nextInt(maxPauseMs));
            checker.closesArriveSoon &= counters.clientReadsPaused == 0;
            hosts.forEach(RandomHost::checkDepartures);
        }
        endFaults();
        run(12_000);
        if (checker.violations().isEmpty()) {
            checkNothingLeft();
        }
        return checker.violations();
    }

    private void randomEvent() {
        int dice = random.nextInt(100);
        if (dice < 62) {
            sendRequest();
        } else if (dice < 66) {
            pick(clients).hangUp(random.nextBoolean());
        } else if (dice < 70) {
            RandomClient client = pick(clients);
            if (random.nextInt(3) == 0) {
                client.pauseReading();
            } else {
                client.resumeReading();
            }
        } else if (dice < 75) {
            pick(hosts).stop(random.nextBoolean());
        } else if (dice < 82) {
            pick(hosts).start();
        } else if (dice < 87) {
            freeze();
        } else if (dice < 93) {
            breakConnection();
        } else if (dice < 95) {
            // The machine is unreachable until it comes back, which resets its open connections.
            int at = random.nextInt(hosts.size());
            simulation.network().vanish(inet("10.0.1." + (at + 1)));
            hosts.get(at).reachableSince(Long.MAX_VALUE);
        } else if (dice < 97) {
            // A partition, in one direction or both: data is held back and delivered after it heals, whatever was
            // reported meanwhile.
            int at = random.nextInt(hosts.size());
            InetAddress host = inet("10.0.1." + (at + 1));
            hosts.get(at).proxyUnawareUntil(Long.MAX_VALUE);
            if (random.nextInt(3) > 0) {
                simulation.network().cut(inet(FRONT_END.host()), host);
            }
            if (random.nextInt(3) > 0) {
                simulation.network().cut(host, inet(FRONT_END.host()));
            }
        } else {
            heal();
        }
    }

    private void heal() {
        for (int i = 1; i <= hosts.size(); i++) {
            InetAddress host = inet("10.0.1." + i);
            simulation.network().comeBack(host);
            simulation.network().join(inet(FRONT_END.host()), host);
            simulation.network().join(host, inet(FRONT_END.host()));
        }
        long until = edge.clock().nanos() / 1_000_000 + 60;
        hosts.forEach(host -> host.proxyUnawareUntil(until));
        hosts.forEach(host -> host.reachableSince(until));
    }

    private <T> T pick(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private void sendRequest() {
        boolean repeatable = random.nextInt(3) == 0;
        String body = random.nextInt(3) > 0
                ? ""
                : "b" + requestCount
                        + "x"
                                .repeat(
                                        random.nextInt(4) == 0
                                                ? 9_000 + random.nextInt(20_000)
                                                : random.nextInt(3) == 0
                                                        ? 500 + random.nextInt(5_000)
                                                        : random.nextInt(40));
        String method = !body.isEmpty() ? "POST" : random.nextInt(8) == 0 ? "HEAD" : "GET";
        int count = random.nextInt(MAX_RETRY_COUNT + 1);
        String uri = (repeatable ? "/r" : "/n") + count + "/p" + requestCount + "?q=" + requestCount;
        ExchangeChecker.ClientAttempt exchange = checker.onRequestSent(new ExchangeChecker.ClientAttempt(
                "t" + requestCount++, method, uri, body, repeatable, Math.max(1, count)));
        int remainingMs = random.nextInt(4) == 0 ? 1 + random.nextInt(120) : 200 + random.nextInt(2_500);
        pick(clients)
                .send(exchange, "Brambletray-Deadline-Remaining: " + remainingMs + "\r\n", random.nextInt(10) == 0);
    }

    /** Pauses the edge, at times for longer than any of its timers. */
    private void freeze() {
        int ms = random.nextInt(random.nextBoolean() ? 60 : 3_000);
        simulation.freeze(edge);
        long until = edge.clock().nanos() / 1_000_000 + ms + 60;
        hosts.forEach(host -> host.proxyUnawareUntil(Math.max(host.proxyUnawareUntil(), until)));
        if (random.nextBoolean()) {
            sendRequest();
        }
        run(ms);
        simulation.thaw(edge);
    }

    /** Resets a connection between the edge and a host, now or in the middle of the next data. */
    private void breakConnection() {
        String ip = random.nextBoolean() ? FRONT_END.host() : "10.0.1." + (1 + random.nextInt(hosts.size()));
        List<SimChannel> ends = simulation.network().at(inet(ip));
        if (!ends.isEmpty()) {
            SimChannel end = pick(ends);
            if (random.nextBoolean()) {
                end.breakBoth();
            } else {
                end.cutAfter(random.nextInt(400));
            }
        }
    }

    /** Ends all faults; clients read again. */
    private void endFaults() {
        heal();
        hosts.forEach(RandomHost::start);
        clients.forEach(RandomClient::resumeReading);
    }

    private void checkNothingLeft() {
        if (router.inFlight() != 0 || router.activeRequests() != 0) {
            checker.addViolation(
                    "REST", router.inFlight() + " requests in flight, " + router.activeRequests() + " active");
        }
        if (router.heldBytes() != 0) {
            checker.addViolation("REST", router.heldBytes() + " bytes buffered");
        }
        heldSlots.values().removeIf(places -> places == 0);
        if (!heldSlots.isEmpty() || !pendingRequests.isEmpty()) {
            checker.addViolation(
                    "REST", "slots not released: " + heldSlots + ", pending slot requests " + pendingRequests.size());
        }
        if (connectionPools.openCount() != 0) {
            checker.addViolation("REST", connectionPools.openCount() + " open connections to hosts");
        }
    }

    private void run(int ms) {
        simulation.runUntil(simulation.now() + TimeUnit.MILLISECONDS.toNanos(ms));
    }

    ExchangeChecker checker() {
        return checker;
    }

    RequestCounters counters() {
        return counters;
    }

    /**
     * Runs {@code scenarios} scenarios starting with seed {@code from}; returns the first violation of one of the
     * rules (a regular expression), or null.
     */
    static String hunt(String rules, long from, int scenarios, int steps) {
        for (long seed = from; seed < from + scenarios; seed++) {
            List<String> broken;
            try {
                broken = new RandomExchanges(seed, steps).play();
            } catch (RuntimeException | AssertionError e) {
                StackTraceElement[] at = e.getStackTrace();
                broken = List.of("FAULT: " + e + (at.length > 0 ? " at " + at[0] : ""));
            }
            for (String one : broken) {
                if (one.matches("(?s)(" + rules + "): .*")) {
                    return "seed " + seed + ": " + one;
                }
            }
        }
        return null;
    }

    /** For manual runs; arguments: first seed, scenarios, steps. Prints every scenario with violations. */
    public static void main(String[] args) {
        java.util.logging.LogManager.getLogManager().reset();
        long from = Long.parseLong(args[0]);
        long began = System.nanoTime();
        int bad = 0;
        int tries = 0;
        int successes = 0;
        int promises = 0;
        RequestCounters all = new RequestCounters();
        for (long seed = from; seed < from + Long.parseLong(args[1]); seed++) {
            RandomExchanges scenario = new RandomExchanges(seed, Integer.parseInt(args[2]));
            List<String> broken;
            try {
                broken = scenario.play();
            } catch (RuntimeException | AssertionError e) {
                broken = List.of("FAULT " + e);
                if (args.length > 3) {
                    e.printStackTrace();
                }
            }
            tries += scenario.checker.attemptCount();
            successes += scenario.checker.successes;
            promises += scenario.checker.nonExecutionResponses;
            all.surplusResponses += scenario.counters.surplusResponses;
            all.streamedResponses += scenario.counters.streamedResponses;
            all.staleConnections += scenario.counters.staleConnections;
            all.hedges += scenario.counters.hedges;
            all.hedgesWon += scenario.counters.hedgesWon;
            if (!broken.isEmpty()) {
                bad++;
                System.out.println("seed " + seed + ": " + broken);
            }
        }
        System.out.println(bad + " bad; tries " + tries + " successes " + successes + " promises " + promises + " "
                + format(all)
                + " s " + (System.nanoTime() - began) / 1e9);
    }

    /** Formats the nonzero counters for messages. */
    static String format(RequestCounters counters) {
        StringBuilder shown = new StringBuilder();
        counters.forEachNonZero(
                (name, count) -> shown.append(name).append('=').append(count).append(' '));
        return shown.toString();
    }
}
