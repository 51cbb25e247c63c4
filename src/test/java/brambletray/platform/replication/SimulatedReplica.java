package brambletray.platform.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One machine of the control plane in simulated time: a disk that stays, and a process that comes and goes. */
public final class SimulatedReplica {
    /** What else the process does besides being a member. */
    public interface AdditionalComponent {
        void tick();

        void receive(String from, Object frame);

        void synced(long ticket);

        void syncFailed(long ticket);
    }

    /** What the members replicate, in place of lists of texts, and the proposals that are its own. */
    public interface Application {
        StateMachine stateMachine();

        boolean isOwnToken(long token);

        void onProposalCompleted(long token, ProposalOutcome outcome);
    }

    public final SimulatedReplicas world;
    public final String address;
    public final SimulatedReplicaDisk disk = new SimulatedReplicaDisk();
    List<String> seeds;
    public Replica replica;
    public AdditionalComponent additionalComponent;
    /** Null for lists of texts. */
    public Application application;
    /** Counts processes; what was meant for an earlier one is dropped. */
    int processNumber;

    public boolean initialStart;
    String zone = "";
    public long frozenUntil;
    /** What this process has delivered, by place; places before the first are in the snapshot. */
    public final List<String> state = new ArrayList<>();
    /** The same, to look a change up. */
    public final java.util.Set<String> applied = new java.util.HashSet<>();

    long appliedIndex;
    boolean down = true;
    final List<Runnable> deferred = new ArrayList<>();
    final List<String> events = new ArrayList<>();

    SimulatedReplica(SimulatedReplicas world, String address, List<String> seeds) {
        this.world = world;
        this.address = address;
        this.seeds = seeds;
    }

    public void start() {
        processNumber++;
        down = false;
        frozenUntil = 0;
        deferred.clear();
        state.clear();
        applied.clear();
        appliedIndex = 0;
        long fresh = world.random.nextLong() | 1;
        DurableState durableState = DurableState.read(disk.content);
        replica = null;
        long origin = world.random.nextLong() | 1;
        application = world.applications == null ? null : world.applications.create(this, origin);
        replica = new Replica(
                new ReplicaConfig(address, address, zone, fresh, origin, seeds, initialStart, world.settings),
                durableState,
                new SimulatedActions(processNumber),
                application == null ? new TextListStateMachine() : application.stateMachine(),
                world.now);
        world.ruleChecker.onStarted(this, replica.status().self().incarnation());
        additionalComponent = world.additionalComponents == null ? null : world.additionalComponents.apply(this);
        scheduleTick(processNumber);
    }

    /** Runs it on this process's loop, unless the process ends before. */
    public void execute(Runnable run) {
        world.scheduleFor(this, processNumber, world.now, run);
    }

    /** Keeps changes of the rider. */
    public void persist(long ticket, Map<String, byte[]> changes) {
        write(1, processNumber, ticket, changes);
    }

    private void write(int writer, int process, long ticket, Map<String, byte[]> changes) {
        disk.startWrite(writer, changes);
        world.schedule(world.now, () -> world.onDiskWrite.accept(this));
        world.scheduleFor(
                this,
                process,
                world.now + world.syncMs(disk) + disk.transferMs(writer),
                () -> finish(writer, process, ticket));
    }

    private void finish(int writer, int process, long ticket) {
        if (disk.hungUntil > world.now) {
            world.scheduleFor(this, process, world.now + 10, () -> finish(writer, process, ticket));
            return;
        }
        world.onDiskWrite.accept(this);
        if (process != processNumber) {
            return;
        }
        boolean full = disk.full;
        if (full) {
            disk.discardWrite(writer);
        } else {
            disk.completeWrite(writer);
        }
        if (writer == 1) {
            if (full) {
                additionalComponent.syncFailed(ticket);
            } else {
                additionalComponent.synced(ticket);
            }
        } else {
            if (full) {
                replica.syncFailed(ticket, world.now);
            } else {
                replica.synced(ticket, world.now);
            }
            if (replica != null) {
                world.ruleChecker.checkView(this);
            }
        }
    }

    private void scheduleTick(int which) {
        world.scheduleFor(this, which, world.now + 40, () -> {
            if (replica != null) {
                replica.tick(world.now);
                if (replica != null) {
                    world.ruleChecker.checkView(this);
                }
                if (additionalComponent != null) {
                    additionalComponent.tick();
                }
            }
            scheduleTick(which);
        });
    }

    /** The process ends at once. With {@code power}, so does the machine: a batch under way may be lost. */
    public void kill(boolean power) {
        processNumber++;
        down = true;
        replica = null;
        additionalComponent = null;
        application = null;
        if (power && (!world.jitter || world.random.nextBoolean())) {
            disk.discardAllWrites();
        } else {
            disk.completeAllWrites();
        }
    }

    public void wipe() {
        world.ruleChecker.onDiskWiped(this);
        disk.wipe();
        disk.full = false;
        disk.hungUntil = 0;
    }

    public boolean isRunning() {
        return !down;
    }

    void deliver(String from, Object frame) {
        if (replica == null) {
            return;
        }
        if (frame instanceof ReplicationMessage) {
            replica.receive(from, frame, world.now);
            if (replica != null) {
                world.ruleChecker.checkView(this);
            }
        } else if (additionalComponent != null) {
            additionalComponent.receive(from, frame);
        }
        world.afterMessage.accept(this, frame);
    }

    private final class TextListStateMachine implements StateMachine {
        @Override
        public byte[] snapshot() {
            return (appliedIndex + " " + world.snapshotPadding + "\n" + String.join("\n", state))
                    .getBytes(StandardCharsets.UTF_8);
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
            String all = (at + changes.size()) + " " + world.snapshotPadding + "\n" + String.join("\n", lines);
            return all.getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] snapshot) {
            state.clear();
            applied.clear();
            appliedIndex = 0;
            if (snapshot.length == 0) {
                return;
            }
            String[] lines = new String(snapshot, StandardCharsets.UTF_8).split("\n");
            appliedIndex = Long.parseLong(lines[0].split(" ")[0]);
            for (int i = 1; i < lines.length; i++) {
                state.add(lines[i]);
            }
            applied.addAll(state);
        }

        @Override
        public void apply(long index, byte[] change) {
            if (index != appliedIndex + 1) {
                world.ruleChecker.fail(address + " delivers " + index + " after " + appliedIndex);
            }
            appliedIndex = index;
            String whole = new String(change, StandardCharsets.UTF_8);
            String text = whole.indexOf(' ') < 0 ? whole : whole.substring(0, whole.indexOf(' '));
            if (!applied.add(text)) {
                world.ruleChecker.fail(address + " delivers " + text + " twice");
            }
            state.add(text);
            world.ruleChecker.onApplied(SimulatedReplica.this, index, text);
        }
    }

    private final class SimulatedActions implements ReplicationActions {
        private final int process;

        SimulatedActions(int mine) {
            this.process = mine;
        }

        @Override
        public void send(String to, ReplicationMessage frame) {
            world.send(SimulatedReplica.this, to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            write(0, process, ticket, changes);
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            if (application != null && application.isOwnToken(token)) {
                execute(() -> application.onProposalCompleted(token, outcome));
                return;
            }
            world.ruleChecker.onProposalCompleted(SimulatedReplica.this, token, outcome);
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {
            world.ruleChecker.onReadIndexCompleted(SimulatedReplica.this, token, yes);
        }

        @Override
        public void statusChanged() {}

        @Override
        public void log(ReplicationEvent event) {
            if (event instanceof ReplicationEvent.BehindSnapshot) {
                world.ruleChecker.fail(address + " can't send what a member lacks: " + event);
            }
            if (!world.logsEvents) {
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
            world.events.add(line.toString());
        }
    }
}
