package brambletray.platform.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Three members and one that may come later, their disks and links, moved by hand: each move is the next frame of a
 * link, the end of a sync, the impatience of a member, a loss of power or of a disk, a planned end, the start of the
 * newcomer. The same moves give the same board.
 */
final class SteppedReplicas {
    /** Machines: the founders and the newcomer. */
    static final int SIZE = 4;

    private static final int FOUNDERS = 3;
    private static final int STEP_MS = 400;
    private static final String[] NAMES = {"a", "b", "c", "d"};
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final int NEVER_MS = 1_000_000_000;
    private static final ReplicationSettings SETTINGS =
            new ReplicationSettings(FaultTolerance.ofMachines(1), NEVER_MS, 1, NEVER_MS, NEVER_MS, NEVER_MS, 0, 0, 0, NEVER_MS, NEVER_MS, NEVER_MS);

    /** What may still happen: impatience, losses of power, losses of disks, planned ends, the start of the newcomer. */
    record EventBudget(int timeouts, int powerLosses, int diskLosses, int leaves, int newcomers) {
        EventBudget(int impatience, int power, int disks) {
            this(impatience, power, disks, 0, 0);
        }
    }

    private static final class SteppedReplica implements ReplicationActions, StateMachine {
        final SteppedReplicas cluster;
        final int number;
        Map<String, byte[]> diskContent = new HashMap<>();
        Map<String, byte[]> inFlight;
        long ticket;
        int startCount;
        long incarnation;
        Replica replica;
        final List<String> state = new ArrayList<>();
        long lastProposedView;

        SteppedReplica(SteppedReplicas board, int number) {
            this.cluster = board;
            this.number = number;
        }

        void start(boolean initial) {
            startCount++;
            state.clear();
            inFlight = null;
            long fresh = 100 * (number + 1) + startCount;
            replica = null;
            replica = new Replica(
                    new ReplicaConfig(
                            NAMES[number],
                            NAMES[number],
                            "",
                            fresh,
                            1000 * (number + 1) + startCount,
                            SEEDS,
                            initial,
                            SETTINGS),
                    DurableState.read(diskContent),
                    this,
                    this,
                    cluster.now);
            incarnation = replica.status().self().incarnation();
        }

        @Override
        public void send(String address, ReplicationMessage frame) {
            cluster.links.get(SIZE * number + address.charAt(0) - 'a').add(frame);
        }

        @Override
        public void persist(long which, Map<String, byte[]> changes) {
            ticket = which;
            inFlight = new HashMap<>(changes);
        }

        void sync() {
            inFlight.forEach((key, value) -> {
                if (value == null) {
                    diskContent.remove(key);
                } else {
                    diskContent.put(key, value);
                }
            });
            inFlight = null;
            replica.synced(ticket, cluster.now);
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            if (outcome == ProposalOutcome.COMMITTED) {
                cluster.acknowledged++;
            }
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {}

        @Override
        public void statusChanged() {}

        @Override
        public void log(ReplicationEvent event) {
            if (!cluster.verbose) {
                return;
            }
            StringBuilder line = new StringBuilder(NAMES[number]).append(' ').append(event.name());
            event.writeFields(
                    (name, value) -> line.append(' ').append(name).append('=').append(value));
            System.out.println(line);
        }

        @Override
        public byte[] snapshot() {
            return String.join("\n", state).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            List<String> lines = new ArrayList<>();
            if (snapshot.length > 0) {
                lines.add(new String(snapshot, StandardCharsets.UTF_8));
            }
            changes.forEach(change -> lines.add(new String(change, StandardCharsets.UTF_8)));
            return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] snapshot) {
            state.clear();
            if (snapshot.length > 0) {
                state.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
            }
        }

        @Override
        public void apply(long index, byte[] change) {
            String text = new String(change, StandardCharsets.UTF_8);
            if (state.contains(text)) {
                throw new AssertionError(text + " twice at " + NAMES[number]);
            }
            state.add(text);
            String other = cluster.appliedByIndex.putIfAbsent(index, text);
            if (other == null || other.equals(text)) {
                return;
            }
            throw new AssertionError(NAMES[number] + " delivers " + text + " at " + index + ", before it was " + other);
        }
    }

    private final SteppedReplica[] replicas = new SteppedReplica[SIZE];
    private final List<ArrayDeque<ReplicationMessage>> links = new ArrayList<>();
    private final TreeMap<Long, String> appliedByIndex = new TreeMap<>();
    private final TreeMap<Long, View> views = new TreeMap<>();
    private final List<Long> lostIncarnations = new ArrayList<>();
    private long now = 1000;
    private EventBudget budget;
    int acknowledged;
    /** Processes that have left; newcomers let in. */
    int leftCount;

    boolean joined;
    boolean verbose;

    SteppedReplicas(EventBudget purse) {
        this.budget = purse;
        for (int i = 0; i < SIZE; i++) {
            for (int j = 0; j < SIZE; j++) {
                links.add(new ArrayDeque<>());
            }
            replicas[i] = new SteppedReplica(this, i);
        }
        for (int i = 0; i < FOUNDERS; i++) {
            replicas[i].start(true);
        }
    }

    /** Founds the control plane: the first member leads, nothing is under way. */
    void found() {
        executeAllEnabled();
        now += STEP_MS;
        replicas[0].replica.tick(now);
        executeAllEnabled();
        // told to the others that the view is active by their leader's next beat
        if (!replicas[0].replica.status().isLeader()) {
            throw new AssertionError("not founded");
        }
    }

    private void executeAllEnabled() {
        boolean moved = true;
        while (moved) {
            moved = false;
            for (int move = 0; move < SIZE * SIZE + SIZE; move++) {
                if (!isEnabled(move)) {
                    continue;
                }
                execute(move);
                moved = true;
            }
        }
    }

    /**
     * Moves: first the next frame of a link, then for each: sync, impatience, loss of power, of the disk, planned end,
     * first start.
     */
    static final int MOVES = SIZE * SIZE + 6 * SIZE;

    boolean isEnabled(int move) {
        if (move < SIZE * SIZE) {
            return !links.get(move).isEmpty();
        }
        SteppedReplica replica = replicas[move % SIZE];
        int kind = (move - SIZE * SIZE) / SIZE;
        if (replica.replica == null) {
            return kind == 5 && budget.newcomers > 0 && replica.number >= FOUNDERS && replica.startCount == 0;
        }
        return switch (kind) {
            case 0 -> replica.inFlight != null;
            case 1 -> budget.timeouts > 0;
            case 2 -> budget.powerLosses > 0;
            case 3 -> budget.diskLosses > 0 && mayLoseDisk();
            case 4 -> replica.replica.isLeaving() ? replica.replica.mayTerminate() : budget.leaves > 0;
            default -> false;
        };
    }

    private boolean mayLoseDisk() {
        if (views.isEmpty()) {
            return false;
        }
        View latest = views.lastEntry().getValue();
        return latest.members().size() > 1
                && latest.members().stream().noneMatch(member -> lostIncarnations.contains(member.incarnation()));
    }

    void execute(int move) {
        if (move < SIZE * SIZE) {
            ReplicationMessage frame = links.get(move).poll();
            if (replicas[move % SIZE].replica == null) {
                return;
            }
            if (verbose) {
                System.out.println(NAMES[move / SIZE] + ">" + NAMES[move % SIZE] + " " + frame);
            }
            replicas[move % SIZE].replica.receive(NAMES[move / SIZE], frame, now);
            checkView(replicas[move % SIZE]);
            return;
        }
        SteppedReplica replica = replicas[move % SIZE];
        int kind = (move - SIZE * SIZE) / SIZE;
        if (verbose) {
            System.out.println(NAMES[move % SIZE] + " "
                    + List.of("sync", "impatient", "power", "disk", "leaves", "comes")
                            .get(kind));
        }
        if (kind == 0) {
            replica.sync();
        } else if (kind == 1) {
            budget = new EventBudget(budget.timeouts - 1, budget.powerLosses, budget.diskLosses, budget.leaves, budget.newcomers);
            now += STEP_MS;
            replica.replica.tick(now);
        } else if (kind == 4) {
            if (replica.replica.mayTerminate()) {
                endProcess(replica);
                return;
            }
            budget = new EventBudget(budget.timeouts, budget.powerLosses, budget.diskLosses, budget.leaves - 1, budget.newcomers);
            now += STEP_MS;
            replica.replica.leave(now);
        } else if (kind == 5) {
            budget = new EventBudget(budget.timeouts, budget.powerLosses, budget.diskLosses, budget.leaves, budget.newcomers - 1);
            now += STEP_MS;
            replica.start(false);
            replica.sync();
            replica.replica.tick(now);
        } else {
            boolean disk = kind == 3;
            budget = new EventBudget(
                    budget.timeouts,
                    budget.powerLosses - (disk ? 0 : 1),
                    budget.diskLosses - (disk ? 1 : 0),
                    budget.leaves,
                    budget.newcomers);
            if (disk) {
                lostIncarnations.add(replica.incarnation);
                replica.diskContent = new HashMap<>();
            }
            clearLinks(replica);
            replica.start(false);
        }
        checkView(replica);
    }

    private void clearLinks(SteppedReplica replica) {
        for (int i = 0; i < SIZE; i++) {
            links.get(SIZE * i + replica.number).clear();
            links.get(SIZE * replica.number + i).clear();
        }
    }

    /** The process has left: the others have to be able to go on without it, on more disks than may be lost. */
    private void endProcess(SteppedReplica replica) {
        View latest = views.lastEntry().getValue();
        boolean alone = latest.members().size() == 1;
        if (latest.contains(replica.incarnation) && !alone) {
            throw new AssertionError(NAMES[replica.number] + " has left, and is in " + latest);
        }
        boolean one = !latest.contains(replica.incarnation) && alone && lostIncarnations.isEmpty();
        if (one) {
            throw new AssertionError(NAMES[replica.number] + " has left one disk: " + latest);
        }
        leftCount++;
        clearLinks(replica);
        replica.inFlight = null;
        replica.replica = null;
    }

    /** Holds the rules, and has each new leader propose something. */
    private void checkView(SteppedReplica replica) {
        ReplicaStatus status = replica.replica.status();
        if (!status.active()) {
            return;
        }
        joined |= status.members().stream().anyMatch(member -> member.address().equals(NAMES[FOUNDERS]));
        View mine =
                new View(new Ballot(status.viewNumber(), status.leader().incarnation()), status.members(), List.of());
        View other = views.putIfAbsent(status.viewNumber(), mine);
        if (other != null && !other.equals(mine)) {
            throw new AssertionError("two views of number " + status.viewNumber() + ": " + other + ", " + mine);
        }
        if (status.isLeader() && replica.lastProposedView < status.viewNumber()) {
            replica.lastProposedView = status.viewNumber();
            replica.replica.propose(
                    status.viewNumber(), ("v" + status.viewNumber()).getBytes(StandardCharsets.UTF_8), now);
        }
    }

    Fingerprint.Hash128 fingerprint() {
        List<Object> all = new ArrayList<>();
        for (SteppedReplica replica : replicas) {
            all.add(replica.replica);
            all.add(new TreeMap<>(replica.diskContent));
            all.add(replica.inFlight == null ? null : new TreeMap<>(replica.inFlight));
            all.add(replica.state);
            all.add(replica.lastProposedView);
        }
        all.addAll(links);
        all.add(appliedByIndex);
        all.add(views);
        all.add(budget);
        return Fingerprint.of(all.toArray());
    }
}
