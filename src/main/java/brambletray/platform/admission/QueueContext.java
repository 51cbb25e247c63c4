package brambletray.platform.admission;

/** State shared by all parts of one service queue. */
final class QueueContext {
    final String zone;
    final AdmissionParameters parameters;
    final AdmissionActions actions;
    ServiceSpec spec;

    QueueContext(ServiceSpec spec, String zone, AdmissionParameters parameters, AdmissionActions actions) {
        this.spec = spec;
        this.zone = zone;
        this.parameters = parameters;
        this.actions = actions;
    }

    String service() {
        return spec.service();
    }

    int maxConcurrency() {
        return spec.maxConcurrency();
    }

    void refuse(SlotRequest request, int retryAfterMs) {
        actions.refuse(request.edge(), new SlotRefusal(request.id(), retryAfterMs));
    }
}
