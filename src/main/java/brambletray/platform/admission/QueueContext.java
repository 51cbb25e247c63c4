package brambletray.platform.admission;

/** What all parts of one seat share. */
final class QueueContext {
    final String zone;
    final AdmissionParameters laws;
    final AdmissionActions out;
    ServiceSpec spec;

    QueueContext(ServiceSpec spec, String zone, AdmissionParameters laws, AdmissionActions out) {
        this.spec = spec;
        this.zone = zone;
        this.laws = laws;
        this.out = out;
    }

    String service() {
        return spec.service();
    }

    int most() {
        return spec.most();
    }

    void refuse(SlotRequest ask, int comeBackMs) {
        out.refuse(ask.edge(), new SlotRefusal(ask.id(), comeBackMs));
    }
}
