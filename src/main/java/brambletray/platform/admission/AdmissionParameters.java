package brambletray.platform.admission;

/**
 * The parameters of admission; nothing here belongs to a site. Times in ms, memory prices in GB-seconds of an
 * instance's memory.
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
     * {@code lostMs}: ms after the deadline of its request after which a slot counts as lost; {@code goneMs}: ms for
     * which the slots of an edge that left the membership stay closed, at most; {@code fullMs}: ms for which an
     * instance that rejected a request is counted as having one slot less.
     */
    public record Limit(int lostAfterMs, int edgeGoneGraceMs, int fullInstancePauseMs) {}

    /**
     * {@code slow}: a host whose answers take this many times the others' is used last; {@code pauseMs},
     * {@code pauseMostMs}: pause of a failing host, doubled each time; {@code blame}: failures that earn one;
     * {@code leaveMs}: how long a leaving host is still used where nothing else is free (0: not at all; must stay well
     * below {@code drain-ms}).
     */
    public record Selection(double slowFactor, int minPauseMs, int maxPauseMs, double pauseThreshold, int drainingUseMs) {}

    /**
     * {@code most}: queued requests of one queue; {@code ageMs}: ms of waiting that one step of priority is worth;
     * {@code innerMs}: ms that a nested call is moved forward; {@code lateMs}: ms that a request which will miss its
     * target is moved back; {@code safe}: share of the target that an estimated wait may use; {@code marginMs}: ms
     * added to a {@code Retry-After}; {@code third}: share of its remaining time for which a client obeys {@code
     * Retry-After}.
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
     * Slots reserved for nested calls: one of every {@code of}, from {@code least} slots on, for {@code forMs} after
     * the last nested call.
     */
    public record NestedCalls(int reserveDivisor, int minSlots, int rememberMs) {}

    /**
     * The retry budget: {@code ratio} and {@code slack} as the deployment states them, {@code windowMs} the sliding
     * window; {@code share}: the part of the slack that one queue may use.
     */
    public record RetryBudgetLimits(double ratio, int slack, int windowMs, double slackShare) {}

    /**
     * {@code fastMs}, {@code slowMs}: time constants of the two arrival rates, the fast one counting less {@code
     * sure} standard errors; {@code k}: headroom in square roots of the load; {@code tail}: ln(1/share of requests
     * that may find the wait too long); {@code burst}: headroom as a share of the load; {@code atOnce}: concurrent
     * starts of one queue, plus two for each working instance; {@code againMs}: ms after which an unanswered start
     * request is repeated; {@code dropMs}: ms after which it is abandoned; {@code knockMs}: ms between readiness
     * probes of a booting instance, at least; otherwise 1/25 of the boot time while requests wait, 1/8 while none
     * does.
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
     * Costs in GB seconds and times in ms. {@code startGbS}: cost of a start; {@code lateGbS}: cost of a late
     * request; {@code leastMs}: no idle instance is stopped sooner; {@code settleMs}: none is stopped this soon after
     * a home took the service over; {@code mostMs}: none is kept idle longer, except the warm one.
     */
    public record KeepAlive(double startGbS, double lateRequestGbS, int minIdleMs, int settlingMs, int maxIdleMs) {}

    /**
     * Times of a takeover, ms. {@code hostsMs}: wait for the coordinator's list; {@code heldMs}: wait for the edges
     * to report the slots that they hold; {@code againMs}: interval at which the claim is repeated; {@code
     * requestMs}: assumed remaining time of a request whose slot an edge reports, as the report does not carry it.
     */
    public record Takeover(int instanceListWaitMs, int heldSlotsWaitMs, int retryIntervalMs, int requestMs) {}

    /**
     * {@code crossGbS}: cost in GB seconds of one request and response across zones; {@code openMs}: ms for which
     * demand must have justified a zone's own queue before it opens; {@code closeShare}, {@code closeMs}: it closes
     * when demand has been below that share of the threshold for so many ms.
     */
    public record Spread(double crossZoneGbS, int openAfterMs, double closeShare, int closeAfterMs) {}

    /** The laws as they stand, with the site's budget of further tries and its number of zones. */
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

    /** The same with another price of crossing zones, GB-seconds a request. */
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

    /** The same, with leaving hosts used for {@code ms} more where nothing else is free. */
    public AdmissionParameters withDrainingUse(int ms) {
        return new AdmissionParameters(
                limit,
                new Selection(
                        selection.slowFactor(), selection.minPauseMs(), selection.maxPauseMs(), selection.pauseThreshold(), ms),
                queue,
                nestedCalls,
                retryBudget,
                scaling,
                keepAlive,
                takeover,
                zoneSpread);
    }

    /** The same with other prices of keeping, GB-seconds. */
    public AdmissionParameters withKeepAlivePrices(double startGbS, double lateGbS) {
        return new AdmissionParameters(
                limit,
                selection,
                queue,
                nestedCalls,
                retryBudget,
                scaling,
                new KeepAlive(startGbS, lateGbS, keepAlive.minIdleMs(), keepAlive.settlingMs(), keepAlive.maxIdleMs()),
                takeover,
                zoneSpread);
    }

    /** The same with other headroom. */
    public AdmissionParameters withHeadroom(double k, double tail, double burst) {
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
                        k,
                        tail,
                        burst,
                        scaling.maxConcurrentStarts(),
                        scaling.retryIntervalMs(),
                        scaling.giveUpMs(),
                        scaling.probeIntervalMs()),
                keepAlive,
                takeover,
                zoneSpread);
    }
}
