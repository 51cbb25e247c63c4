package brambletray.platform.admission;

/**
 * The properties of a service that its queue needs. {@code memoryMb}: memory of one instance; {@code bootMs}: average
 * boot time; {@code maxConcurrency}: maximum of concurrent requests of one instance; {@code targetMs}: the smallest
 * latency target of the routes to this service, 0 if there is none.
 */
public record ServiceSpec(String service, int memoryMb, int bootMs, int maxConcurrency, int targetMs) {
    /** Throws {@link AdmissionException} with code {@code admission.spec} if a value is out of range. */
    public ServiceSpec {
        if (maxConcurrency < 1 || memoryMb < 1 || bootMs < 0) {
            throw new AdmissionException(
                    "admission.spec",
                    "service " + service + ": memory-mb and max-concurrency must be at least 1, boot-ms at least 0",
                    null);
        }
    }

    /** Whether a cold start takes longer than the latency target. */
    boolean slowToStart() {
        return targetMs > 0 && bootMs > targetMs;
    }
}
