package brambletray.platform.admission;

/**
 * The parameters of admission control; none is specific to a deployment. Times are in ms, costs in GB-seconds of
 * instance memory.
 */
public record AdmissionParameters(
        Limit limit,
        Selection selection,
        Queue queue,
        NestedCalls nestedCalls,
        RetryBudgetLimits retryBudget,
        Scaling scaling,
        KeepAlive keepAlive,
        Takeover takeover,
        Spread zoneSpread) {

    /**
     * {@code lostAfterMs}: time after the deadline of its request after which a slot counts as lost; {@code
     * edgeGoneGraceMs}: maximum time for which the slots of an edge that left the membership stay closed; {@code
     * fullInstancePauseMs}: time for which an instance that rejected a request as full is counted as having one slot
     * less.
     */
    public record Limit(int lostAfterMs, int edgeGoneGraceMs, int fullInstancePauseMs) {}

    /**
     * {@code slowFactor}: an instance whose mean response time exceeds this multiple of the median is used last; {@code
     * minPauseMs}, {@code maxPauseMs}: pause of a failing instance, doubled each time; {@code pauseThreshold}: decayed
     * number of failures that causes a pause; {@code drainingUseMs}: how long a draining instance is still used if no
     * other slot is free (0: not at all; must stay well below {@code drain-ms}).
     */
    public record Selection(
            double slowFactor, int minPauseMs, int maxPauseMs, double pauseThreshold, int drainingUseMs) {}

    /**
     * {@code maxSize}: maximum of queued requests; {@code priorityRankMs}: waiting time that outweighs one step of
     * priority; {@code nestedCallBonusMs}: time by which a nested call is moved forward; {@code lateRequestPenaltyMs}:
     * time by which a request that will miss its target is moved back; {@code safetyFactor}: share of the target that
     * an estimated wait may use; {@code marginMs}: time added to a {@code Retry-After}; {@code
     * retryAfterObeyedShare}: share of its remaining time for which a client obeys {@code Retry-After}.
     */
    public record Queue(
            int maxSize,
            int priorityRankMs,
            int nestedCallBonusMs,
            int lateRequestPenaltyMs,
            double safetyFactor,
            int marginMs,
            double retryAfterObeyedShare) {}

    /**
     * Slots reserved for nested calls: one of every {@code reserveDivisor}, if there are at least {@code minSlots}, for
     * {@code rememberMs} after the last nested call.
     */
    public record NestedCalls(int reserveDivisor, int minSlots, int rememberMs) {}

    /**
     * The retry budget: {@code ratio} of retries to requests, {@code slack} of retries allowed beyond it, {@code
     * windowMs} the sliding window; {@code slackShare}: the part of the slack that one queue may use.
     */
    public record RetryBudgetLimits(double ratio, int slack, int windowMs, double slackShare) {}

    /**
     * {@code fastMemoryMs}, {@code slowMemoryMs}: time constants of the two arrival rates, the fast one reduced by
     * {@code standardErrors} standard errors; {@code headroomFactor}: headroom in square roots of the load; {@code
     * tailExponent}: ln(1/share of requests that may find the wait too long); {@code burstHeadroom}: headroom as a
     * share of the load; {@code maxConcurrentStarts}: concurrent starts of one queue, plus two for each working
     * instance; {@code retryIntervalMs}: time after which an unanswered start request is repeated; {@code giveUpMs}:
     * time after which it is abandoned; {@code probeIntervalMs}: minimum interval of readiness probes of a booting
     * instance, otherwise 1/25 of the boot time while requests wait, 1/8 while none does.
     */
    public record Scaling(
            int fastMemoryMs,
            int slowMemoryMs,
            double standardErrors,
            double headroomFactor,
            double tailExponent,
            double burstHeadroom,
            int maxConcurrentStarts,
            int retryIntervalMs,
            int giveUpMs,
            int probeIntervalMs) {}

    /**
     * {@code startGbS}: cost of a start; {@code lateRequestGbS}: cost of a late request; {@code minIdleMs}: no idle
     * instance is stopped sooner; {@code settlingMs}: none is stopped this soon after a home took the service over;
     * {@code maxIdleMs}: none is kept idle longer, except the warm one.
     */
    public record KeepAlive(double startGbS, double lateRequestGbS, int minIdleMs, int settlingMs, int maxIdleMs) {}

    /**
     * Times of a takeover. {@code instanceListWaitMs}: maximum wait for the coordinator's list; {@code
     * heldSlotsWaitMs}: maximum wait for the edges to report the slots that they hold; {@code retryIntervalMs}:
     * interval at which the claim is repeated; {@code requestMs}: assumed remaining time of a request whose slot an
     * edge reports, as the report does not carry it.
     */
    public record Takeover(int instanceListWaitMs, int heldSlotsWaitMs, int retryIntervalMs, int requestMs) {}

    /**
     * {@code crossZoneGbS}: cost of one request and response across zones; {@code openAfterMs}: time for which demand
     * must have justified a zone's own queue before it opens; {@code closeShare}, {@code closeAfterMs}: the queue
     * closes when demand has been below that share of the threshold for that time.
     */
    public record Spread(double crossZoneGbS, int openAfterMs, double closeShare, int closeAfterMs) {}

    /** The default parameters, with the deployment's retry budget and number of zones. */
    public static AdmissionParameters of(double budgetRatio, int budgetSlack, int windowMs, int zones) {
        return new AdmissionParameters(
                new Limit(500, 1500, 300),
                new Selection(1.7, 200, 5000, 2.0, 0),
                new Queue(256, 2000, 8000, 1500, 0.9, 20, 1.0 / 3),
                new NestedCalls(8, 4, 10000),
                new RetryBudgetLimits(budgetRatio * 0.8, budgetSlack, windowMs, 0.5 / Math.max(1, zones)),
                new Scaling(500, 4000, 2.0, 1.0, 3.0, 0.15, 6, 500, 10000, 20),
                new KeepAlive(0.4, 0.6, 300, 3000, 60000),
                new Takeover(300, 400, 1000, 8000),
                new Spread(0.04, 1000, 0.5, 4000));
    }

    /** A copy with another cost of cross-zone traffic, GB-seconds per request. */
    public AdmissionParameters withCrossZonePrice(double gbS) {
        return new AdmissionParameters(
                limit,
                selection,
                queue,
                nestedCalls,
                retryBudget,
                scaling,
                keepAlive,
                takeover,
                new Spread(gbS, zoneSpread.openAfterMs(), zoneSpread.closeShare(), zoneSpread.closeAfterMs()));
    }

    /** A copy in which draining instances are used for {@code ms} more if no other slot is free. */
    public AdmissionParameters withDrainingUse(int ms) {
        return new AdmissionParameters(
                limit,
                new Selection(
                        selection.slowFactor(),
                        selection.minPauseMs(),
                        selection.maxPauseMs(),
                        selection.pauseThreshold(),
                        ms),
                queue,
                nestedCalls,
                retryBudget,
                scaling,
                keepAlive,
                takeover,
                zoneSpread);
    }

    /** A copy with other costs of a start and of a late request, GB-seconds. */
    public AdmissionParameters withKeepAlivePrices(double startGbS, double lateRequestGbS) {
        return new AdmissionParameters(
                limit,
                selection,
                queue,
                nestedCalls,
                retryBudget,
                scaling,
                new KeepAlive(
                        startGbS, lateRequestGbS, keepAlive.minIdleMs(), keepAlive.settlingMs(), keepAlive.maxIdleMs()),
                takeover,
                zoneSpread);
    }

    /** A copy with other headroom. */
    public AdmissionParameters withHeadroom(double headroomFactor, double tailExponent, double burstHeadroom) {
        return new AdmissionParameters(
                limit,
                selection,
                queue,
                nestedCalls,
                retryBudget,
                new Scaling(
                        scaling.fastMemoryMs(),
                        scaling.slowMemoryMs(),
                        scaling.standardErrors(),
                        headroomFactor,
                        tailExponent,
                        burstHeadroom,
                        scaling.maxConcurrentStarts(),
                        scaling.retryIntervalMs(),
                        scaling.giveUpMs(),
                        scaling.probeIntervalMs()),
                keepAlive,
                takeover,
                zoneSpread);
    }
}
