package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Random faults and work in a simulated world: one seed, one scenario. */
public final class RandomFaults {
    private final SimulatedReplicas world;
    private final Random random;
    public final List<SimulatedReplica> live = new ArrayList<>();
    private final int machines;
    private int replacements;
    /** What else may happen to a process at times. */
    public java.util.function.Consumer<SimulatedReplica> extraAction = node -> {};

    public RandomFaults(long seed, boolean talks) {
        random = new Random(seed);
        machines = random.nextInt(4) == 0 ? 5 : 3;
        world = new SimulatedReplicas(seed, ReplicationSettings.defaults(1));
        world.logsEvents = talks;
        world.ruleChecker.rapidDiskLosses = seed % 4 == 0;
        // large changes on links that take their time
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

    /** Whether nothing more is expected of this scenario than that no rule is broken. */
    public boolean checksSafetyOnly() {
        return world.ruleChecker.rapidDiskLosses;
    }

    /** Plays; returns how many changes were acknowledged. */
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
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + token), 2000, "a change after all is calm");
        awaitOneView(3000);
        world.runUntil(world.now + 300);
        awaitOneView(3000);
        world.runUntilTrue(this::statesAreEqual, 4000, "all alike");
        world.ruleChecker.checkFinalState(live);
        return world.ruleChecker.acknowledged.size();
    }

    private void endFaults() {
        world.heal();
        // those that are about to end, as planned, do
        world.runUntil(world.now + 350);
        world.runUntilTrue(
                () -> live.stream().noneMatch(node -> node.isRunning() && node.replica.isLeaving()),
                6000,
                "those that leave have left");
        for (SimulatedReplica node : live) {
            if (!node.isRunning()) {
                node.start();
            }
        }
    }

    private void awaitOneView(int span) {
        world.runUntilTrue(this::allInOneView, span, "all in one view");
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

    private void issueRequests(int span) {
        long end = world.now + span;
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

    /** A process that has been told to end does so once it may, and is started again. */
    private void restartOnceItMayTerminate(SimulatedReplica node, int boot) {
        world.schedule(world.now + 50, () -> {
            if (node.processNumber != boot || !node.isRunning()) {
                return;
            }
            if (!node.replica.mayTerminate()) {
                restartOnceItMayTerminate(node, boot);
                return;
            }
            node.kill(false);
            restart(node, 500);
        });
    }

    private void restart(SimulatedReplica node, int ms) {
        int boot = node.processNumber;
        world.schedule(world.now + ms, () -> {
            if (node.processNumber == boot && node.down && live.contains(node)) {
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
                for (SimulatedReplica one : live) {
                    world.setCut(node.address, one.address, true);
                }
            }
            case 5 -> node.frozenUntil = Math.max(node.frozenUntil, world.now + 200 + random.nextInt(3000));
            case 6 -> node.disk.syncMs = 5 + random.nextInt(300);
            case 7 -> node.disk.hungUntil = world.now + random.nextInt(4000);
            case 8 -> node.disk.full = true;
            case 9 -> {
                boolean power = random.nextBoolean();
                for (SimulatedReplica one : live) {
                    if (one.isRunning()) {
                        one.kill(power);
                    }
                    restart(one, 100 + random.nextInt(1200));
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

    /** A machine is lost for good, another comes at a new address, before or after. */
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
        SimulatedReplica next = world.node("r" + replacements, List.of("a", "b", "c"));
        live.add(next);
        world.ruleChecker.recovering.add(next.address);
        restart(next, random.nextInt(2000));
    }
}
