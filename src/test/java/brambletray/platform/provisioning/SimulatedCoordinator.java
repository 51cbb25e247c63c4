package brambletray.platform.provisioning;

import java.util.Map;

/** One holder of the role in a scene. */
final class SimulatedCoordinator implements ProvisioningActions {
    private static final long LINK = 2;
    private static final long TICK = 50;

    final Provisioner provisioner;
    private final SimulatedProvisioning scene;
    private final long term;
    boolean dead;

    SimulatedCoordinator(
            SimulatedProvisioning scene, PlatformTerms terms, long term, Map<String, InstanceSize> configuration) {
        this.scene = scene;
        this.term = term;
        this.provisioner = new Provisioner(terms, this, scene::home, scene.wires.now());
        provisioner.onConfigurationChanged(configuration, scene.wires.now());
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
            provisioner.onStartRequest(edge, need, now());
        } else if (frame instanceof StopRequest quit) {
            provisioner.onStopRequest(edge, quit, now());
        } else if (frame instanceof InstanceUp seen) {
            provisioner.onInstanceUp(edge, seen, now());
        } else if (frame instanceof HomeClaim claim) {
            provisioner.onHomeClaim(edge, claim, now());
        } else if (frame instanceof KnownInstances mine) {
            provisioner.onKnownInstances(edge, mine, now());
        }
    }

    private void alive(Runnable what) {
        if (!dead) {
            what.run();
        }
    }

    @Override
    public void send(String edge, Object frame) {
        scene.wires.in(LINK, () -> alive(() -> scene.edge(edge).heard(frame)));
    }

    @Override
    public void startInstance(String service, String worker, String nonce) {
        scene.cloud.begin(
                service, worker, nonce, term, begun -> alive(() -> provisioner.onStartAnswered(nonce, begun, now())));
    }

    @Override
    public void stopInstance(String id) {
        scene.cloud.stop(id, term, result -> alive(() -> provisioner.onStopAnswered(id, result, now())));
    }

    @Override
    public void requestInstanceList() {
        scene.cloud.list(
                java.util.List.of(),
                null,
                (hosts, complete) -> alive(() -> provisioner.onInstanceList(hosts, complete, now())));
    }

    @Override
    public void requestWorkerList() {
        scene.cloud.workers(workers -> alive(() -> {
            if (workers == null) {
                provisioner.onWorkerListFailed(now());
            } else {
                provisioner.onWorkerList(workers, now());
            }
        }));
    }
}
