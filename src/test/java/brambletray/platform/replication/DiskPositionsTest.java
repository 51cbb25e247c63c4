package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * One course of a core: founded, changed, compacted, a member that lost its disk let in again, changed on. At each
 * position of each
 * member's disk (a write has begun; its sync is about to return) one trouble: the disk refuses, the process is killed,
 * the power goes, for
 * this member or for all at once. Nothing acknowledged is lost, and once all is calm changes are acknowledged again.
 */
class DiskPositionsTest {
    private static final int REFUSED_MS = 1_500;
    private static final int DOWN_MS = 300;
    private static final int CALM_MS = 9_000;
    /** Bytes of a change: four of them make a log be compacted. */
    private static final int CHANGE_BYTES = 300 << 10;

    private enum Trouble {
        REFUSED(false) {
            @Override
            void strike(SimWorld world, SimNode node) {
                refuse(world, node);
            }
        },
        KILLED(false) {
            @Override
            void strike(SimWorld world, SimNode node) {
                end(world, node, false);
            }
        },
        DARK(false) {
            @Override
            void strike(SimWorld world, SimNode node) {
                end(world, node, true);
            }
        },
        ALL_REFUSED(true) {
            @Override
            void strike(SimWorld world, SimNode node) {
                refuse(world, node);
            }
        },
        ALL_KILLED(true) {
            @Override
            void strike(SimWorld world, SimNode node) {
                end(world, node, false);
            }
        },
        ALL_DARK(true) {
            @Override
            void strike(SimWorld world, SimNode node) {
                end(world, node, true);
            }
        };

        private final boolean all;

        Trouble(boolean all) {
            this.all = all;
        }

        abstract void strike(SimWorld world, SimNode node);

        void strikeAt(SimWorld world, SimNode node) {
            for (SimNode one : all ? List.copyOf(world.nodes.values()) : List.of(node)) {
                strike(world, one);
            }
        }

        private static void refuse(SimWorld world, SimNode node) {
            node.disk.full = true;
            world.later(world.now + REFUSED_MS, () -> node.disk.full = false);
        }

        /** Ends the process, and starts it again; with {@code power}, what its disk hadn't synced is gone. */
        private static void end(SimWorld world, SimNode node, boolean power) {
            if (!node.up()) {
                return;
            }
            node.kill(power);
            int boot = node.boot;
            world.later(world.now + DOWN_MS, () -> {
                if (node.boot == boot && node.down) {
                    node.start();
                }
            });
        }
    }

    /** Plays the course with a trouble at one position; returns how many positions there were. */
    private static int play(int position, Trouble trouble) {
        Core core = new Core(List.of("a", "b", "c"));
        SimWorld world = core.world;
        int[] seen = new int[1];
        core.found();
        world.atDisk = node -> {
            if (seen[0]++ == position) {
                trouble.strikeAt(world, node);
            }
        };
        world.padding = "p".repeat(CHANGE_BYTES);
        change(world, 6);
        SimNode empty = world.nodes.get("c");
        if (empty.up() && world.oracle.intact()) {
            empty.kill(true);
            empty.wipe();
            world.until(world.now + DOWN_MS);
            if (!empty.up()) {
                empty.start();
            }
        }
        change(world, 6);
        world.until(world.now + REFUSED_MS);
        calm(world);
        return seen[0];
    }

    private static void change(SimWorld world, int count) {
        for (int i = 0; i < count; i++) {
            for (SimNode node : List.copyOf(world.nodes.values())) {
                if (node.up() && node.members.status().isLeader()) {
                    world.oracle.propose(node);
                }
            }
            world.until(world.now + 60);
        }
    }

    private static void calm(SimWorld world) {
        world.await(() -> settled(world), CALM_MS, "all in one view");
        world.padding = "";
        int before = world.oracle.acknowledged.size();
        world.await(() -> acknowledges(world, before), CALM_MS, "a change after all is calm");
        world.await(() -> alike(world), CALM_MS, "all alike");
        world.oracle.end(new ArrayList<>(world.nodes.values()));
    }

    /** Proposes once more, as an operator does whose call had no clear answer. */
    private static boolean acknowledges(SimWorld world, int before) {
        boolean done = world.oracle.acknowledged.size() > before;
        if (!done && world.leader() != null) {
            world.oracle.propose(world.leader());
        }
        return done;
    }

    private static boolean settled(SimWorld world) {
        SimNode leader = world.leader();
        return leader != null
                && leader.members.status().members().size() == world.nodes.size()
                && world.nodes.values().stream()
                        .allMatch(node -> node.up() && node.members.status().role() == ReplicaRole.MEMBER);
    }

    private static boolean alike(SimWorld world) {
        List<String> first = world.nodes.get("a").state;
        return world.nodes.values().stream().allMatch(node -> node.state.equals(first));
    }

    @Test
    void noTroubleAtAnyPositionOfADiskLosesWhatWasAcknowledged() {
        int plays = 0;
        int positions = 0;
        for (Trouble trouble : Trouble.values()) {
            int last = 0;
            for (int position = 0; position <= last; position++) {
                try {
                    last = Math.max(last, play(position, trouble) - 1);
                } catch (AssertionError | RuntimeException e) {
                    throw new AssertionError(trouble + " at position " + position + ": " + e.getMessage(), e);
                }
                plays++;
                if (last > 2_000) {
                    throw new AssertionError("too many positions: " + last);
                }
            }
            positions = Math.max(positions, last + 1);
        }
        System.out.println("disk positions: " + positions + ", plays " + plays);
        assertTrue(positions > 60, "few positions: " + positions);
    }
}
