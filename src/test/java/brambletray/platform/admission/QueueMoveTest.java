package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * A home fails repeatedly while all slots are granted, requests are queued and messages are under way. Whatever the
 * order of events, no instance may exceed its concurrency limit, and no request may be lost.
 */
class QueueMoveTest {
    private static final int INSTANCES = 10;
    private static final int MAX_CONCURRENCY = 4;
    private static final int EDGES = 4;

    private record Event(long at, long order, int homeGeneration, Runnable action) {}

    private final java.util.PriorityQueue<Event> events = new java.util.PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<Map<Long, SlotRequest>> waiting = new ArrayList<>();
    private final List<Map<Long, String>> held = new ArrayList<>();
    private final Map<String, Integer> inUse = new HashMap<>();
    private Random random;
    private ServiceQueues home;
    private int homeGeneration;
    private long now;
    private long order;
    private long ids;
    private int granted;

    private void schedule(int ms, int generation, Runnable action) {
        events.add(new Event(now + ms, order++, generation, action));
    }

    private void moveHome() {
        homeGeneration++;
        int generation = homeGeneration;
        home = new ServiceQueues(
                "east", "n" + homeGeneration, AdmissionParameters.of(0.2, 10, 10_000, 1), new EdgeActions(generation));
        home.onServiceSpec(new ServiceSpec("s", 512, 700, MAX_CONCURRENCY, 300), now);
        List<String> edges = new ArrayList<>();
        for (int i = 0; i < EDGES; i++) {
            edges.add("e" + i);
            int edge = i;
            schedule(1 + random.nextInt(60), generation, () -> {
                List<SlotGrant> grants = new ArrayList<>();
                held.get(edge).forEach((id, instance) -> grants.add(new SlotGrant(id, instance, "", false)));
                waiting.get(edge)
                        .values()
                        .forEach(request -> schedule(1, generation, () -> home.onSlotRequest(request, false, now)));
                home.onHeldSlots(new HeldSlots("e" + edge, "s", grants), now);
            });
        }
        home.takeOver("s", "east", edges, now);
    }

    private void requestSlot(int edge) {
        SlotRequest request = new SlotRequest(
                ++ids,
                "e" + edge,
                "east",
                "s",
                SlotOwner.withoutTenant(random.nextInt(3)),
                60_000,
                60_000,
                false,
                false,
                random.nextInt(10) == 0,
                List.of());
        waiting.get(edge).put(request.id(), request);
        schedule(1 + random.nextInt(3), homeGeneration, () -> home.onSlotRequest(request, false, now));
    }

    private void onGrant(int edge, SlotGrant grant) {
        granted++;
        waiting.get(edge).remove(grant.requestId());
        held.get(edge).put(grant.requestId(), grant.instanceId());
        int used = inUse.merge(grant.instanceId(), 1, Integer::sum);
        assertTrue(
                used <= MAX_CONCURRENCY,
                () -> "instance " + grant.instanceId() + " has " + used + " requests at " + now + " ms");
        schedule(20 + random.nextInt(400), -1, () -> {
            held.get(edge).remove(grant.requestId());
            inUse.merge(grant.instanceId(), -1, Integer::sum);
            schedule(
                    1,
                    homeGeneration,
                    () -> home.onSlotRelease(
                            "e" + edge,
                            new SlotRelease(grant.requestId(), grant.instanceId(), AttemptOutcome.SERVED, 100),
                            now));
            requestSlot(edge);
        });
    }

    @Test
    void noInstanceExceedsItsConcurrency() {
        for (long seed = 1; seed <= 40; seed++) {
            simulate(seed);
        }
    }

    private void simulate(long seed) {
        random = new Random(seed);
        events.clear();
        waiting.clear();
        held.clear();
        inUse.clear();
        granted = 0;
        for (int i = 0; i < EDGES; i++) {
            waiting.add(new HashMap<>());
            held.add(new HashMap<>());
        }
        moveHome();
        for (int i = 0; i < 60; i++) {
            requestSlot(i % EDGES);
        }
        long nextMove = now + 600;
        for (long end = now + 6000; now < end; now++) {
            if (now == nextMove) {
                moveHome();
                nextMove = now + 300 + random.nextInt(900);
            }
            while (!events.isEmpty() && events.peek().at <= now) {
                Event event = events.poll();
                if (event.homeGeneration == -1 || event.homeGeneration == homeGeneration) {
                    event.action.run();
                }
            }
            home.tick(now);
        }
        assertTrue(granted > 300, "seed " + seed + ": granted " + granted);
        int queuedCount = 0;
        for (Map<Long, SlotRequest> of : waiting) {
            queuedCount += of.size();
        }
        int heldCount = 0;
        for (Map<Long, String> of : held) {
            heldCount += of.size();
        }
        assertEquals(60, queuedCount + heldCount, "seed " + seed);
    }

    private final class EdgeActions implements AdmissionActions {
        private final int generation;

        EdgeActions(int generation) {
            this.generation = generation;
        }

        @Override
        public void grant(String edge, SlotGrant grant) {
            int of = Integer.parseInt(edge.substring(1));
            schedule(1 + random.nextInt(3), generation, () -> {
                if (waiting.get(of).containsKey(grant.requestId())) {
                    onGrant(of, grant);
                }
            });
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {
            throw new AssertionError("refused: " + refusal);
        }

        @Override
        public void redirect(String edge, SlotRedirect redirect) {}

        @Override
        public void requestStart(StartRequest request) {}

        @Override
        public void requestStop(StopRequest request) {}

        @Override
        public void reportUp(InstanceUp instance) {}

        @Override
        public void claimHome(HomeClaim claim) {
            List<InstanceInfo> instances = new ArrayList<>();
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(new InstanceInfo("h" + i, "s", "a", "east", "east", "w", "n", InstanceInfo.UP, 5000));
            }
            schedule(
                    2 + random.nextInt(80),
                    generation,
                    () -> home.onInstanceList(new InstanceList("s", "east", instances), now));
        }

        @Override
        public void probe(String service, String instanceId, String address) {}
    }
}
