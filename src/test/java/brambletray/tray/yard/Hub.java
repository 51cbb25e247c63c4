package brambletray.tray.yard;

import java.util.Map;

/** One holder of the duty in a scene. */
final class Hub implements Hands {
    private static final long LINK = 2;
    private static final long TICK = 50;

    final Yard yard;
    private final Scene scene;
    private final long term;
    boolean dead;

    Hub(Scene scene, Terms terms, long term, Map<String, Size> creed) {
        this.scene = scene;
        this.term = term;
        this.yard = new Yard(terms, this, scene::home, scene.wires.now());
        yard.creed(creed, scene.wires.now());
        scene.wires.every(TICK, () -> {
            if (!dead) {
                yard.tick(now());
            }
        });
    }

    private long now() {
        return scene.wires.now();
    }

    void heard(String edge, Object frame) {
        if (dead) {
            return;
        }
        if (frame instanceof Need need) {
            yard.need(edge, need, now());
        } else if (frame instanceof Quit quit) {
            yard.quit(edge, quit, now());
        } else if (frame instanceof Seen seen) {
            yard.seen(edge, seen, now());
        } else if (frame instanceof Claim claim) {
            yard.claim(edge, claim, now());
        } else if (frame instanceof Mine mine) {
            yard.mine(edge, mine, now());
        }
    }

    private void alive(Runnable what) {
        if (!dead) {
            what.run();
        }
    }

    @Override
    public void tell(String edge, Object frame) {
        scene.wires.in(LINK, () -> alive(() -> scene.edge(edge).heard(frame)));
    }

    @Override
    public void begin(String service, String worker, String nonce) {
        scene.cloud.begin(service, worker, nonce, term, begun -> alive(() -> yard.begun(nonce, begun, now())));
    }

    @Override
    public void stop(String id) {
        scene.cloud.stop(id, term, result -> alive(() -> yard.stopped(id, result, now())));
    }

    @Override
    public void askList() {
        scene.cloud.list(
                java.util.List.of(), null, (hosts, complete) -> alive(() -> yard.listed(hosts, complete, now())));
    }

    @Override
    public void askWorkers() {
        scene.cloud.workers(workers -> alive(() -> {
            if (workers == null) {
                yard.workersFailed(now());
            } else {
                yard.workers(workers, now());
            }
        }));
    }
}
