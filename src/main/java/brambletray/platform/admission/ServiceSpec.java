package brambletray.platform.admission;

/**
 * What a service queue has to know of its service. {@code memoryMb}: of one instance; {@code bootMs}: the average
 * time of a start; {@code maxConcurrency}: requests that one instance may have at a time; {@code targetMs}: the
 * smallest latency target of the routes that lead here, 0 where there is none.
 */
public record ServiceSpec(String service, int memoryMb, int bootMs, int maxConcurrency, int targetMs) {
    /** Rejects impossible values with {@link AdmissionException} {@code admission.spec}. */
    public ServiceSpec {
        if (maxConcurrency < 1 || memoryMb < 1 || bootMs < 0) {
            throw new AdmissionException(
                    "admission.spec",
                    "service " + service + ": memory-mb and max-concurrency of 1 or more, boot-ms of 0 or more",
                    null);
        }
    }

    /** A cold start cannot be hidden behind the target. */
    boolean slowToStart() {
        return targetMs > 0 && bootMs > targetMs;
    }
}
