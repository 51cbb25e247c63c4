package brambletray.platform.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One machine of the core in simulated time: a disk that stays, and a process that comes and goes. */
public final class SimNode {
    /** What else the process does besides being a member. */
    public interface Rider {
        void tick();

        void heard(String from, Object frame);

        void synced(long ticket);

        void failed(long ticket);
    }

    public final SimWorld world;
    public final String address;
    public final SimDisk disk = new SimDisk();
    List<String> seeds;
    public Replica members;
    public Rider rider;
    /** Counts processes; what was meant for an earlier one is dropped. */
    int boot;

    public boolean initial;
    String zone = "";
    public long frozenUntil;
    /** What this process has delivered, by place; places before the first are in the snapshot. */
    public final List<String> state = new ArrayList<>();
    /** The same, to look a change up. */
    final java.util.Set<String> has = new java.util.HashSet<>();

    long delivered;
    boolean down = true;
    final List<Runnable> deferred = new ArrayList<>();
    final List<String> tales = new ArrayList<>();

    SimNode(SimWorld world, String address, List<String> seeds) {
        this.world = world;
        this.address = address;
        this.seeds = seeds;
    }

    public void start() {
        boot++;
        down = false;
        frozenUntil = 0;
        deferred.clear();
        state.clear();
        has.clear();
        delivered = 0;
        long fresh = world.random.nextLong() | 1;
        DurableState durableState = DurableState.read(disk.kept);
        members = null;
        members = new Replica(
                new ReplicaConfig(
                        address, address, zone, fresh, world.random.nextLong() | 1, seeds, initial, world.settings),
                durableState,
                new Ways(boot),
                new State(),
                world.now);
        world.oracle.born(this, members.status().self().incarnation());
        rider = world.riders == null ? null : world.riders.apply(this);
        tick(boot);
    }

    /** Keeps changes of the rider. */
    public void persist(long ticket, Map<String, byte[]> changes) {
        write(1, boot, ticket, changes);
    }

    private void write(int writer, int process, long ticket, Map<String, byte[]> changes) {
        disk.begin(writer, changes);
        world.later(world.now, () -> world.atDisk.accept(this));
        world.at(this, process, world.now + world.syncMs(disk), () -> finish(writer, process, ticket));
    }

    private void finish(int writer, int process, long ticket) {
        if (disk.hungUntil > world.now) {
            world.at(this, process, world.now + 10, () -> finish(writer, process, ticket));
            return;
        }
        world.atDisk.accept(this);
        if (process != boot) {
            return;
        }
        boolean full = disk.full;
        if (full) {
            disk.drop(writer);
        } else {
            disk.end(writer);
        }
        if (writer == 1) {
            if (full) {
                rider.failed(ticket);
            } else {
                rider.synced(ticket);
            }
        } else {
            if (full) {
                members.syncFailed(ticket, world.now);
            } else {
                members.synced(ticket, world.now);
            }
            if (members != null) {
                world.oracle.look(this);
            }
        }
    }

    private void tick(int which) {
        world.at(this, which, world.now + 40, () -> {
            if (members != null) {
                members.tick(world.now);
                if (members != null) {
                    world.oracle.look(this);
                }
                if (rider != null) {
                    rider.tick();
                }
            }
            tick(which);
        });
    }

    /** The process ends at once. With {@code power}, so does the machine: a batch under way may be lost. */
    void kill(boolean power) {
        boot++;
        down = true;
        members = null;
        rider = null;
        if (power && (!world.jitter || world.random.nextBoolean())) {
            disk.dropAll();
        } else {
            disk.endAll();
        }
    }

    void wipe() {
        world.oracle.wiped(this);
        disk.wipe();
        disk.full = false;
        disk.hungUntil = 0;
    }

    public boolean up() {
        return !down;
    }

    void hear(String from, Object frame) {
        if (members == null) {
            return;
        }
        if (frame instanceof ReplicationMessage) {
            members.receive(from, frame, world.now);
            if (members != null) {
                world.oracle.look(this);
            }
        } else if (rider != null) {
            rider.heard(from, frame);
        }
        world.frameDispatcher.accept(this, frame);
    }

    private final class State implements StateMachine {
        @Override
        public byte[] snapshot() {
            return (delivered + " " + world.ballast + "\n" + String.join("\n", state)).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            List<String> lines = new ArrayList<>();
            long at = 0;
            if (snapshot.length > 0) {
                lines.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
                at = Long.parseLong(lines.remove(0).split(" ")[0]);
            }
            for (byte[] change : changes) {
                lines.add(new String(change, StandardCharsets.UTF_8).split(" ")[0]);
            }
            String all = (at + changes.size()) + " " + world.ballast + "\n" + String.join("\n", lines);
            return all.getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] snapshot) {
            state.clear();
            has.clear();
            delivered = 0;
            if (snapshot.length == 0) {
                return;
            }
            String[] lines = new String(snapshot, StandardCharsets.UTF_8).split("\n");
            delivered = Long.parseLong(lines[0].split(" ")[0]);
            for (int i = 1; i < lines.length; i++) {
                state.add(lines[i]);
            }
            has.addAll(state);
        }

        @Override
        public void apply(long index, byte[] change) {
            if (index != delivered + 1) {
                world.oracle.fail(address + " delivers " + index + " after " + delivered);
            }
            delivered = index;
            String whole = new String(change, StandardCharsets.UTF_8);
            String text = whole.indexOf(' ') < 0 ? whole : whole.substring(0, whole.indexOf(' '));
            if (!has.add(text)) {
                world.oracle.fail(address + " delivers " + text + " twice");
            }
            state.add(text);
            world.oracle.delivered(SimNode.this, index, text);
        }
    }

    private final class Ways implements ReplicationActions {
        private final int mine;

        Ways(int mine) {
            this.mine = mine;
        }

        @Override
        public void send(String to, ReplicationMessage frame) {
            world.send(SimNode.this, to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            write(0, mine, ticket, changes);
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            world.oracle.outcome(SimNode.this, token, outcome);
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {
            world.oracle.confirmed(SimNode.this, token, yes);
        }

        @Override
        public void statusChanged() {}

        @Override
        public void log(ReplicationEvent event) {
            if (event instanceof ReplicationEvent.BehindSnapshot) {
                world.oracle.fail(address + " can't send what a member lacks: " + event);
            }
            if (!world.talks) {
                return;
            }
            StringBuilder line = new StringBuilder()
                    .append(world.now)
                    .append(' ')
                    .append(address)
                    .append(' ')
                    .append(event.name());
            event.writeFields(
                    (name, value) -> line.append(' ').append(name).append('=').append(value));
            world.tales.add(line.toString());
        }
    }
}
