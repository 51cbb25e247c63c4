package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Runs a random scenario of faults and requests on simulated replicas; each seed gives one scenario. */
public final class RandomFaults {
    private final SimulatedReplicas world;
    private final Random random;
    public final List<SimulatedReplica> live = new ArrayList<>();
    private final int machines;
    private int replacements;
    /** Additional action that is applied to a random node now and then. */
    public java.util.function.Consumer<SimulatedReplica> extraAction = node -> {};

    public RandomFaults(long seed, boolean logsEvents) {
        random = new Random(seed);
        machines = random.nextInt(4) == 0 ? 5 : 3;
        world = new SimulatedReplicas(seed, ReplicationSettings.defaults(1));
        world.logsEvents = logsEvents;
        world.ruleChecker.rapidDiskLosses = seed % 4 == 0;
        // large changes, as links may get a limited rate
        if (seed % 5 == 2) {
            world.changePadding = "p".repeat(24 << 10);
        }
        List<String> seeds = List.of("a", "b", "c");
        for (int i = 0; i < machines; i++) {
            SimulatedReplica node = world.node(String.valueOf((char) ('a' + i)), seeds);
            node.initialStart = true;
            live.add(node);
        }
    }

    public SimulatedReplicas world() {
        return world;
    }

    /** Whether this scenario checks only that no rule is violated, and not that the group recovers. */
    public boolean checksSafetyOnly() {
        return world.ruleChecker.rapidDiskLosses;
    }

    /**
     * Runs the scenario.
     *
     * @return the number of acknowledged changes
     */
    public int run() {
        for (SimulatedReplica node : live) {
            world.schedule(world.now + random.nextInt(400), node::start);
        }
        world.runUntil(world.now + 500);
        if (random.nextInt(4) > 0) {
            awaitOneView(8000);
        }
        for (SimulatedReplica node : live) {
            node.initialStart = false;
        }
        int rounds = 3 + random.nextInt(10);
        for (int i = 0; i < rounds; i++) {
            int faults = 1 + random.nextInt(3);
            for (int f = 0; f < faults; f++) {
                injectFault();
                issueRequests(random.nextInt(400));
            }
            issueRequests(random.nextInt(1500));
            if (random.nextInt(3) == 0) {
                endFaults();
                if (world.ruleChecker.rapidDiskLosses) {
                    issueRequests(2000);
                } else {
                    awaitOneView(9000);
                }
            }
        }
        endFaults();
        if (world.ruleChecker.rapidDiskLosses) {
            issueRequests(5000);
            return world.ruleChecker.acknowledged.size();
        }
        awaitOneView(9000);
        long token = world.ruleChecker.propose(live.get(0));
        world.runUntilTrue(
                () -> world.ruleChecker.acknowledged.contains("c" + token),
                2000,
                "a change acknowledged after the faults");
        awaitOneView(3000);
        world.runUntil(world.now + 300);
        awaitOneView(3000);
        world.runUntilTrue(this::statesAreEqual, 4000, "equal state on all nodes");
        world.ruleChecker.checkFinalState(live);
        return world.ruleChecker.acknowledged.size();
    }

    private void endFaults() {
        world.heal();
        // let planned leaves complete
        world.runUntil(world.now + 350);
        world.runUntilTrue(
                () -> live.stream().noneMatch(node -> node.isRunning() && node.replica.isLeaving()),
                6000,
                "planned leaves completed");
        for (SimulatedReplica node : live) {
            if (!node.isRunning()) {
                node.start();
            }
        }
    }

    private void awaitOneView(int timeoutMs) {
        world.runUntilTrue(this::allInOneView, timeoutMs, "all nodes in one view");
    }

    private boolean allInOneView() {
        SimulatedReplica leader = world.leader();
        if (leader == null) {
            return false;
        }
        for (SimulatedReplica node : live) {
            if (!node.isRunning()) {
                return false;
            }
            ReplicaStatus status = node.replica.status();
            if (status.role() != ReplicaRole.MEMBER
                    || status.viewNumber() != leader.replica.status().viewNumber()) {
                return false;
            }
        }
        return leader.replica.status().members().size() == live.size();
    }

    private boolean statesAreEqual() {
        for (SimulatedReplica node : live) {
            if (!node.state.equals(live.get(0).state)) {
                return false;
            }
        }
        return true;
    }

    private void issueRequests(int durationMs) {
        long end = world.now + durationMs;
        while (world.now < end) {
            world.runUntil(Math.min(end, world.now + 1 + random.nextInt(120)));
            SimulatedReplica node = randomNode();
            if (node.isRunning() && node.frozenUntil <= world.now) {
                if (random.nextInt(20) == 0) {
                    extraAction.accept(node);
                }
                if (random.nextInt(4) == 0) {
                    world.ruleChecker.requestReadIndex(node);
                } else {
                    world.ruleChecker.propose(node);
                }
            }
        }
    }

    private SimulatedReplica randomNode() {
        return live.get(random.nextInt(live.size()));
    }

    /** Kills a leaving process once it may terminate, and restarts it. */
    private void restartOnceItMayTerminate(SimulatedReplica node, int processNumber) {
        world.schedule(world.now + 50, () -> {
            if (node.processNumber != processNumber || !node.isRunning()) {
                return;
            }
            if (!node.replica.mayTerminate()) {
                restartOnceItMayTerminate(node, processNumber);
                return;
            }
            node.kill(false);
            restart(node, 500);
        });
    }

    private void restart(SimulatedReplica node, int delayMs) {
        int processNumber = node.processNumber;
        world.schedule(world.now + delayMs, () -> {
            if (node.processNumber == processNumber && node.down && live.contains(node)) {
                node.start();
            }
        });
    }

    private void injectFault() {
        SimulatedReplica node = randomNode();
        SimulatedReplica other = randomNode();
        switch (random.nextInt(14)) {
            case 0, 1 -> {
                if (node.isRunning()) {
                    node.kill(random.nextBoolean());
                }
                restart(node, 100 + random.nextInt(3000));
            }
            case 2 -> world.setCut(node.address, other.address, true);
            case 3 -> world.setOneWayCut(node.address, other.address, true);
            case 4 -> {
                for (SimulatedReplica affected : live) {
                    world.setCut(node.address, affected.address, true);
                }
            }
            case 5 -> node.frozenUntil = Math.max(node.frozenUntil, world.now + 200 + random.nextInt(3000));
            case 6 -> node.disk.syncMs = 5 + random.nextInt(300);
            case 7 -> node.disk.hungUntil = world.now + random.nextInt(4000);
            case 8 -> node.disk.full = true;
            case 9 -> {
                boolean powerLost = random.nextBoolean();
                for (SimulatedReplica affected : live) {
                    if (affected.isRunning()) {
                        affected.kill(powerLost);
                    }
                    restart(affected, 100 + random.nextInt(1200));
                }
                if (random.nextBoolean()) {
                    wipe(node);
                }
            }
            case 10 -> wipe(node);
            case 12 -> {
                if (node.isRunning()) {
                    node.replica.leave(world.now);
                    restartOnceItMayTerminate(node, node.processNumber);
                }
            }
            case 11 -> {
                world.link(node.address, other.address).loss = random.nextDouble();
                world.link(other.address, node.address).delayMs = 2 + random.nextInt(200);
                if (!world.changePadding.isEmpty()) {
                    world.setBandwidth(node.address, other.address, 100 + random.nextInt(2000));
                }
            }
            default -> replace(node);
        }
        if (random.nextInt(3) == 0) {
            world.heal();
        }
    }

    private void wipe(SimulatedReplica node) {
        if (!world.ruleChecker.mayLoseDisk()) {
            return;
        }
        if (node.isRunning()) {
            node.kill(true);
        }
        node.wipe();
        restart(node, 100 + random.nextInt(2000));
    }

    /** Loses a machine permanently and adds a replacement at a new address. */
    private void replace(SimulatedReplica node) {
        if (replacements >= 2 || !world.ruleChecker.mayLoseDisk() || !allInOneView()) {
            return;
        }
        replacements++;
        if (node.isRunning()) {
            node.kill(true);
        }
        node.wipe();
        world.ruleChecker.recovering.remove(node.address);
        live.remove(node);
        SimulatedReplica replacement = world.node("r" + replacements, List.of("a", "b", "c"));
        live.add(replacement);
        world.ruleChecker.recovering.add(replacement.address);
        restart(replacement, random.nextInt(2000));
    }
}
