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
     * {@code lostMs}: a place is lost this long after the end of its request; {@code goneMs}: how long at most a place
     * of an edge that is gone stays closed; {@code fullMs}: how long a host that turned a request away is counted
     * fuller by one.
     */
    public record Limit(int lostAfterMs, int edgeGoneGraceMs, int fullInstancePauseMs) {}

    /**
     * {@code slow}: a host whose answers take this many times the others' is used last; {@code pauseMs},
     * {@code pauseMostMs}: pause of a failing host, doubled each time; {@code blame}: failures that earn one;
     * {@code leaveMs}: how long a leaving host is still used where nothing else is free (0: not at all; must stay well
     * below {@code drain-ms}).
     */
    public record Selection(double slowFactor, int minPauseMs, int maxPauseMs, double blame, int drainingUseMs) {}

    /**
     * {@code most}: waiting asks of a seat; {@code ageMs}: a rank of priority is worth this much of waiting;
     * {@code innerMs}: so is a call of a host; {@code lateMs}: so is being in time; {@code safe}: share of the target
     * that a reckoned wait may use up; {@code marginMs}: added to a time for coming back; {@code third}: share of its
     * remaining time that a client heeds.
     */
    public record Queue(
            int maxSize,
            int priorityRankMs,
            int nestedCallBonusMs,
            int lateRequestPenaltyMs,
            double safetyFactor,
            int marginMs,
            double third) {}

    /**
     * Places kept for calls of hosts: one of every {@code of}, from {@code least} places on, as long as such a call was
     * seen within {@code forMs}. */
    public record NestedCalls(int oneOf, int minSlots, int rememberMs) {}

    /**
     * Rule BUDGET: {@code ratio} and {@code slack} as stated, {@code windowMs}; {@code share}: the part of the slack
     * that this seat may use.
     */
    public record RetryBudgetLimits(double ratio, int slack, int windowMs, double hedgeShare) {}

    /**
     * {@code fastMs}, {@code slowMs}: memory of the two rates, the fast one counting less {@code sure} standard errors;
     * {@code k}: headroom in roots of the load; {@code tail}: ln(1/share of requests that may find the wait too long);
     * {@code burst}: headroom as a share of the load; {@code atOnce}: starts under way of one seat, with two more for
     * each host that works; {@code againMs}: an unanswered need is repeated; {@code dropMs}: it is given up;
     * {@code knockMs}: between knocks at a booting host, at least; else a 25th of the boot while asks wait, an 8th
     * while none does.
     */
    public record Scaling(
            int fastMemoryMs,
            int slowMemoryMs,
            double standardErrors,
            double headroomFactor,
            double tail,
            double burst,
            int maxConcurrentStarts,
            int retryIntervalMs,
            int giveUpMs,
            int probeIntervalMs) {}

    /**
     * {@code startGbS}: price of a start; {@code lateGbS}: price of a request made late; {@code leastMs}: no idle host
     * ends sooner; {@code settleMs}: none ends this soon after the seat was taken over; {@code mostMs}: none is kept
     * idle longer, but for the warm one.
     */
    public record KeepAlive(double startGbS, double lateRequestGbS, int minIdleMs, int settlingMs, int maxIdleMs) {}

    /**
     * {@code hostsMs}: wait for the hub's list; {@code heldMs}: wait for the edges to tell what they hold;
     * {@code againMs}: claim repeated; {@code requestMs}: rest of a request's time where an edge tells of its place
     * (they don't say).
     */
    public record Takeover(int instanceListWaitMs, int heldSlotsWaitMs, int retryIntervalMs, int requestMs) {}

    /**
     * {@code crossGbS}: price of one request and answer across zones; {@code openMs}: demand must have paid for so long
     * before a zone's own seat opens; {@code closeShare}, {@code closeMs}: and been below that share of it for so long
     * before it closes.
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
                        selection.slowFactor(), selection.minPauseMs(), selection.maxPauseMs(), selection.blame(), ms),
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
