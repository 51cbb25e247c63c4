package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.HedgeDelay;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import io.netty.buffer.ByteBuf;

/**
 * Performs the actions of one {@link RequestLifecycle} and passes events to it, from the client, the slot broker and
 * the connections to instances.
 */
final class RequestDriver implements RequestActions {
    private final RequestRouter router;
    private final ClientRequest clientRequest;
    private final RequestLifecycle lifecycle;
    private final HedgeDelay hedgeDelay;
    private final RequestPreparation preparation;
    private final HostExchanges exchanges = new HostExchanges();
    private final HostCallContext hostCallContext;
    private final LoopTimer timer;
    private final ClientReply clientReply;
    /** Response recorded for an earlier attempt of the operation; null for none. */
    private RecordedAnswer recordedAnswer;

    private boolean bodyHeld = true;
    private boolean finished;

    RequestDriver(
            RequestRouter router,
            ClientConnection client,
            ClientRequest clientRequest,
            String id,
            RequestPlan plan,
            int maxConnections) {
        this.router = router;
        this.clientRequest = clientRequest;
        this.hostCallContext =
                new HostCallContext(clientRequest, id, !plan.idempotent(), maxConnections, router.memoryBudget());
        this.timer = new LoopTimer(router.machine(), this::tick);
        this.hedgeDelay = router.hedgeDelay(plan.service());
        this.clientReply = new ClientReply(router, client, clientRequest, id, plan.service());
        this.preparation =
                new RequestPreparation(plan, router.quotaGate(), router.operationGate(), new PreparationListener());
        this.lifecycle = new RequestLifecycle(
                plan, this, hedgeDelay::delayMs, router::nextRequestId, router.edge(), router.zone(), router.now());
    }

    void start() {
        lifecycle.start(router.now());
        afterEvent();
    }

    // ---- Client events --------------------------------------------------------------------------
    /** The client has disconnected; no response can be delivered any more. */
    void onClientGone() {
        if (clientReply.isOpen()) {
            int sent = lifecycle.sentCount();
            clientReply.onClientGone();
            lifecycle.onClientGone(router.now());
            router.counters().countClientGone(sent, lifecycle.sentCount());
            afterEvent();
        }
    }

    /** Responds to the client now, as the process ends, unless its response has begun. */
    void answerNow() {
        lifecycle.answerNow(router.now());
        afterEvent();
    }

    /** The client's connection is writable again. */
    void onClientWritable() {
        clientReply.onClientWritable();
    }

    // ---- Timer ----------------------------------------------------------------------------------
    /** Runs after each event: sets the next timer, and releases what is no longer needed. */
    private void afterEvent() {
        if (lifecycle.isSettled()) {
            releaseBody();
        }
        if (lifecycle.isOver()) {
            if (!finished) {
                finished = true;
                preparation.onOver(lifecycle.runState());
                router.onFinished();
            }
            timer.stop();
        } else {
            timer.set(lifecycle.nextDueMs(), router.now());
        }
    }

    private void tick() {
        lifecycle.tick(router.now());
        afterEvent();
    }

    private void releaseBody() {
        if (bodyHeld) {
            bodyHeld = false;
            int bytes = clientRequest.body().readableBytes();
            clientRequest.release();
            router.memoryBudget().release(bytes);
        }
        exchanges.releaseResponses();
    }

    // ---- RequestActions -------------------------------------------------------------------------
    @Override
    public void prepare() {
        preparation.start();
    }

    @Override
    public int cancelPreparation() {
        return preparation.cancel();
    }

    private final class PreparationListener implements RequestPreparation.Listener {
        @Override
        public void onPrepared() {
            lifecycle.onPrepared(router.now());
            afterEvent();
        }

        @Override
        public void onRejected(int status, int retryAfterMs) {
            lifecycle.onPreparationRejected(status, retryAfterMs);
            afterEvent();
        }

        @Override
        public void onRepeatAnswered(RecordedAnswer answer) {
            recordedAnswer = answer;
            lifecycle.onRepeatAnswered();
            afterEvent();
        }
    }

    @Override
    public void passRecordedAnswer() {
        clientReply.passRecorded(recordedAnswer);
    }

    @Override
    public void requestSlot(SlotRequest request) {
        router.counters().slotRequests++;
        router.counters().retries += request.retry() && !request.hedge() ? 1 : 0;
        router.broker().requestSlot(request, new SlotRequester() {
            @Override
            public void onGranted(SlotGrant grant) {
                lifecycle.onGranted(grant, router.now());
                afterEvent();
            }

            @Override
            public void onRefused(int retryAfterMs) {
                router.counters().hedgesRefused += request.hedge() ? 1 : 0;
                lifecycle.onRefused(request.id(), retryAfterMs, router.now());
                afterEvent();
            }
        });
    }

    @Override
    public void cancelSlotRequest(long requestId) {
        router.broker().cancelRequest(requestId);
    }

    @Override
    public void sendToInstance(Attempt attempt, long hostDeadlineMs) {
        HostExchange exchange = new HostExchange(this, attempt, hostDeadlineMs, permit(attempt));
        attempt.attachment = exchange;
        exchanges.add(exchange);
        router.connectionPools().send(exchange);
    }

    private SendPermit permit(Attempt attempt) {
        return preparation.permit(new SendPermit.Events() {
            @Override
            public void onPermitted() {
                router.connectionPools().send((HostExchange) attempt.attachment);
            }

            @Override
            public void onRejected(int status, int retryAfterMs) {
                lifecycle.onSendRejected(attempt, status, retryAfterMs, router.now());
                afterEvent();
            }
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        ((HostExchange) attempt.attachment).cancel(router.connectionPools());
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs) {
        router.counters().countOutcome(outcome);
        router.broker().releaseSlot(grant, outcome, durationMs);
    }

    @Override
    public void recordResponseTime(int ms) {
        hedgeDelay.add(ms);
    }

    @Override
    public void passResponse(Attempt attempt) {
        countPassed(attempt);
        clientReply.pass(((HostExchange) attempt.attachment).takeResponse());
    }

    @Override
    public void startStreaming(Attempt attempt) {
        countPassed(attempt);
        clientReply.startStreaming((HostExchange) attempt.attachment);
    }

    private void countPassed(Attempt attempt) {
        router.counters().answeredByInstances++;
        router.counters().hedgesWon += attempt.hedge ? 1 : 0;
    }

    @Override
    public void finishStreaming() {
        clientReply.finishStreaming();
    }

    @Override
    public void abortClient() {
        clientReply.abort();
    }

    @Override
    public void respond(int status, int retryAfterMs) {
        clientReply.respond(status, retryAfterMs, exchanges.count());
    }

    // ---- Instance events ------------------------------------------------------------------------
    HostCallContext hostCallContext() {
        return hostCallContext;
    }

    void onConnected(Attempt attempt) {
        if (attempt.grant.booting()) {
            router.broker().onInstanceUp(attempt.grant);
        }
    }

    void onSent(Attempt attempt) {
        router.counters().sends++;
        router.counters().hedges += attempt.hedge ? 1 : 0;
        lifecycle.onSent(attempt, router.now());
        afterEvent();
    }

    void onUnreachable(Attempt attempt) {
        lifecycle.onUnreachable(attempt, router.now());
        afterEvent();
    }

    boolean onStreaming(Attempt attempt) {
        boolean wanted = lifecycle.onStreaming(attempt, router.now());
        afterEvent();
        return wanted;
    }

    boolean onContent(ByteBuf bytes) {
        return clientReply.onContent(bytes);
    }

    boolean wasSentOn(HostConnection connection) {
        return exchanges.used(connection);
    }

    /** Whether the attempt may still be sent now. */
    boolean isStillWanted(Attempt attempt) {
        if (lifecycle.nextDueMs() <= router.now()) {
            lifecycle.tick(router.now());
            afterEvent();
        } else if (!preparation.allowsSending()) {
            answerNow();
        }
        return attempt.active;
    }

    /** {@code response}: null if there is none that may be passed on. */
    void onEnded(Attempt attempt, AttemptOutcome outcome, boolean withheld, HostResponse response) {
        if (response != null) {
            preparation.onHostAnswer(response);
        }
        lifecycle.onEnded(attempt, outcome, withheld, router.now());
        afterEvent();
    }
}
