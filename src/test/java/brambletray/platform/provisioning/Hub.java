package brambletray.platform.provisioning;

import java.util.Map;

/** One holder of the duty in a scene. */
final class Hub implements ProvisioningActions {
    private static final long LINK = 2;
    private static final long TICK = 50;

    final Provisioner provisioner;
    private final Scene scene;
    private final long term;
    boolean dead;

    Hub(Scene scene, PlatformTerms terms, long term, Map<String, InstanceSize> configuration) {
        this.scene = scene;
        this.term = term;
        this.provisioner = new Provisioner(terms, this, scene::home, scene.wires.now());
        provisioner.configuration(configuration, scene.wires.now());
        scene.wires.every(TICK, () -> {
            if (!dead) {
                provisioner.tick(now());
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
        if (frame instanceof StartRequest need) {
            provisioner.need(edge, need, now());
        } else if (frame instanceof StopRequest quit) {
            provisioner.quit(edge, quit, now());
        } else if (frame instanceof InstanceUp seen) {
            provisioner.seen(edge, seen, now());
        } else if (frame instanceof HomeClaim claim) {
            provisioner.claim(edge, claim, now());
        } else if (frame instanceof KnownInstances mine) {
            provisioner.mine(edge, mine, now());
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
        scene.cloud.begin(service, worker, nonce, term, begun -> alive(() -> provisioner.begun(nonce, begun, now())));
    }

    @Override
    public void stop(String id) {
        scene.cloud.stop(id, term, result -> alive(() -> provisioner.stopped(id, result, now())));
    }

    @Override
    public void askList() {
        scene.cloud.list(
                java.util.List.of(),
                null,
                (hosts, complete) -> alive(() -> provisioner.listed(hosts, complete, now())));
    }

    @Override
    public void askWorkers() {
        scene.cloud.workers(workers -> alive(() -> {
            if (workers == null) {
                provisioner.workersFailed(now());
            } else {
                provisioner.workers(workers, now());
            }
        }));
    }
}
