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
    private static final int FAR = 1_000_000_000;
    private static final ReplicationSettings SETTINGS =
            new ReplicationSettings(FaultTolerance.ofMachines(1), FAR, 1, FAR, FAR, FAR, 0, 0, 0, FAR, FAR, FAR);

    /** What may still happen: impatience, losses of power, losses of disks, planned ends, the start of the newcomer. */
    record Purse(int impatience, int power, int disks, int leaves, int newcomers) {
        Purse(int impatience, int power, int disks) {
            this(impatience, power, disks, 0, 0);
        }
    }

    private static final class SteppedReplica implements ReplicationActions, StateMachine {
        final SteppedReplicas board;
        final int number;
        Map<String, byte[]> kept = new HashMap<>();
        Map<String, byte[]> flying;
        long ticket;
        int boot;
        long life;
        Replica members;
        final List<String> state = new ArrayList<>();
        long proposedIn;

        SteppedReplica(SteppedReplicas board, int number) {
            this.board = board;
            this.number = number;
        }

        void start(boolean initial) {
            boot++;
            state.clear();
            flying = null;
            long fresh = 100 * (number + 1) + boot;
            members = null;
            members = new Replica(
                    new ReplicaConfig(
                            NAMES[number],
                            NAMES[number],
                            "",
                            fresh,
                            1000 * (number + 1) + boot,
                            SEEDS,
                            initial,
                            SETTINGS),
                    DurableState.read(kept),
                    this,
                    this,
                    board.now);
            life = members.status().self().incarnation();
        }

        @Override
        public void send(String address, ReplicationMessage frame) {
            board.links.get(SIZE * number + address.charAt(0) - 'a').add(frame);
        }

        @Override
        public void persist(long which, Map<String, byte[]> changes) {
            ticket = which;
            flying = new HashMap<>(changes);
        }

        void sync() {
            flying.forEach((key, value) -> {
                if (value == null) {
                    kept.remove(key);
                } else {
                    kept.put(key, value);
                }
            });
            flying = null;
            members.synced(ticket, board.now);
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            if (outcome == ProposalOutcome.COMMITTED) {
                board.acknowledged++;
            }
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {}

        @Override
        public void statusChanged() {}

        @Override
        public void log(ReplicationEvent event) {
            if (!board.talks) {
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
            String other = board.order.putIfAbsent(index, text);
            if (other == null || other.equals(text)) {
                return;
            }
            throw new AssertionError(NAMES[number] + " delivers " + text + " at " + index + ", before it was " + other);
        }
    }

    private final SteppedReplica[] replicas = new SteppedReplica[SIZE];
    private final List<ArrayDeque<ReplicationMessage>> links = new ArrayList<>();
    private final TreeMap<Long, String> order = new TreeMap<>();
    private final TreeMap<Long, View> views = new TreeMap<>();
    private final List<Long> lost = new ArrayList<>();
    private long now = 1000;
    private Purse purse;
    int acknowledged;
    /** Processes that have left; newcomers let in. */
    int left;

    boolean joined;
    boolean talks;

    SteppedReplicas(Purse purse) {
        this.purse = purse;
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
        drain();
        now += STEP_MS;
        replicas[0].members.tick(now);
        drain();
        // told to the others that the view is active by their leader's next beat
        if (!replicas[0].members.status().isLeader()) {
            throw new AssertionError("not founded");
        }
    }

    private void drain() {
        boolean moved = true;
        while (moved) {
            moved = false;
            for (int move = 0; move < SIZE * SIZE + SIZE; move++) {
                if (!may(move)) {
                    continue;
                }
                play(move);
                moved = true;
            }
        }
    }

    /**
     * Moves: first the next frame of a link, then for each: sync, impatience, loss of power, of the disk, planned end,
     * first start.
     */
    static final int MOVES = SIZE * SIZE + 6 * SIZE;

    boolean may(int move) {
        if (move < SIZE * SIZE) {
            return !links.get(move).isEmpty();
        }
        SteppedReplica replica = replicas[move % SIZE];
        int kind = (move - SIZE * SIZE) / SIZE;
        if (replica.members == null) {
            return kind == 5 && purse.newcomers > 0 && replica.number >= FOUNDERS && replica.boot == 0;
        }
        return switch (kind) {
            case 0 -> replica.flying != null;
            case 1 -> purse.impatience > 0;
            case 2 -> purse.power > 0;
            case 3 -> purse.disks > 0 && intact();
            case 4 -> replica.members.isLeaving() ? replica.members.mayTerminate() : purse.leaves > 0;
            default -> false;
        };
    }

    private boolean intact() {
        if (views.isEmpty()) {
            return false;
        }
        View latest = views.lastEntry().getValue();
        return latest.members().size() > 1
                && latest.members().stream().noneMatch(member -> lost.contains(member.incarnation()));
    }

    void play(int move) {
        if (move < SIZE * SIZE) {
            ReplicationMessage frame = links.get(move).poll();
            if (replicas[move % SIZE].members == null) {
                return;
            }
            if (talks) {
                System.out.println(NAMES[move / SIZE] + ">" + NAMES[move % SIZE] + " " + frame);
            }
            replicas[move % SIZE].members.receive(NAMES[move / SIZE], frame, now);
            look(replicas[move % SIZE]);
            return;
        }
        SteppedReplica replica = replicas[move % SIZE];
        int kind = (move - SIZE * SIZE) / SIZE;
        if (talks) {
            System.out.println(NAMES[move % SIZE] + " "
                    + List.of("sync", "impatient", "power", "disk", "leaves", "comes")
                            .get(kind));
        }
        if (kind == 0) {
            replica.sync();
        } else if (kind == 1) {
            purse = new Purse(purse.impatience - 1, purse.power, purse.disks, purse.leaves, purse.newcomers);
            now += STEP_MS;
            replica.members.tick(now);
        } else if (kind == 4) {
            if (replica.members.mayTerminate()) {
                end(replica);
                return;
            }
            purse = new Purse(purse.impatience, purse.power, purse.disks, purse.leaves - 1, purse.newcomers);
            now += STEP_MS;
            replica.members.leave(now);
        } else if (kind == 5) {
            purse = new Purse(purse.impatience, purse.power, purse.disks, purse.leaves, purse.newcomers - 1);
            now += STEP_MS;
            replica.start(false);
            replica.sync();
            replica.members.tick(now);
        } else {
            boolean disk = kind == 3;
            purse = new Purse(
                    purse.impatience,
                    purse.power - (disk ? 0 : 1),
                    purse.disks - (disk ? 1 : 0),
                    purse.leaves,
                    purse.newcomers);
            if (disk) {
                lost.add(replica.life);
                replica.kept = new HashMap<>();
            }
            cut(replica);
            replica.start(false);
        }
        look(replica);
    }

    private void cut(SteppedReplica replica) {
        for (int i = 0; i < SIZE; i++) {
            links.get(SIZE * i + replica.number).clear();
            links.get(SIZE * replica.number + i).clear();
        }
    }

    /** The process has left: the others have to be able to go on without it, on more disks than may be lost. */
    private void end(SteppedReplica replica) {
        View latest = views.lastEntry().getValue();
        boolean alone = latest.members().size() == 1;
        if (latest.contains(replica.life) && !alone) {
            throw new AssertionError(NAMES[replica.number] + " has left, and is in " + latest);
        }
        boolean one = !latest.contains(replica.life) && alone && lost.isEmpty();
        if (one) {
            throw new AssertionError(NAMES[replica.number] + " has left one disk: " + latest);
        }
        left++;
        cut(replica);
        replica.flying = null;
        replica.members = null;
    }

    /** Holds the rules, and has each new leader propose something. */
    private void look(SteppedReplica replica) {
        ReplicaStatus status = replica.members.status();
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
        if (status.isLeader() && replica.proposedIn < status.viewNumber()) {
            replica.proposedIn = status.viewNumber();
            replica.members.propose(
                    status.viewNumber(), ("v" + status.viewNumber()).getBytes(StandardCharsets.UTF_8), now);
        }
    }

    Fingerprint.Hash128 print() {
        List<Object> all = new ArrayList<>();
        for (SteppedReplica replica : replicas) {
            all.add(replica.members);
            all.add(new TreeMap<>(replica.kept));
            all.add(replica.flying == null ? null : new TreeMap<>(replica.flying));
            all.add(replica.state);
            all.add(replica.proposedIn);
        }
        all.addAll(links);
        all.add(order);
        all.add(views);
        all.add(purse);
        return Fingerprint.of(all.toArray());
    }
}
