package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A simulated operator: makes changes, reads, and repeats calls with an unclear result, sometimes also clear ones.
 * Follows 307 twice, and goes on to another member after a failure, a 5xx, a 408 or 429, or a second of silence, with
 * exponential backoff.
 */
final class SimulatedOperator {
    private static final Pattern MARK = Pattern.compile("\"path-prefix\":\"/o(\\d+)/p\\d+/\"");
    private static final Pattern REVISION = Pattern.compile("\"revision\":(\\d+)");
    private static final int PAUSE = 100;
    private static final int PAUSE_MOST = 1_000;
    private static final int HOPS = 2;
    /** Tries at what need not come to an end. */
    private static final int FEW = 5;

    /** What one call is about. */
    private interface CallHandler {
        String path();

        Long base();

        byte[] body();

        /** A clear response; true if the call is finished. */
        boolean answered(int status, byte[] body, long askedAt, String member);
    }

    private final SimulatedCluster cluster;
    private final DrillJudge judge;
    private final SimulatedOperators others;
    private final Machine machine;
    private final SplittableRandom random;
    private final List<OperatorRequest> own = new ArrayList<>();
    private boolean busy;
    private int knownOrder;
    private long knownRevision;
    /** Changes still to be given without a pause. */
    int burst;

    private boolean ending;
    /** Counts errands: late answers to an earlier one are passed over. */
    private int hostCall;

    SimulatedOperator(SimulatedCluster cluster, DrillJudge judge, SimulatedOperators all, int number) {
        this.cluster = cluster;
        this.judge = judge;
        this.others = all;
        machine = cluster.machine(SimulatedCluster.ip(10, 9, 0, number), "operator-" + number);
        random = cluster.random.split();
    }

    boolean busy() {
        return busy;
    }

    /** No more orders; what is under way goes on. */
    void end() {
        ending = true;
    }

    void begin(int ms) {
        machine.loop().schedule(this::idle, ms, TimeUnit.MILLISECONDS);
    }

    private void rest() {
        busy = false;
        int pace = burst > 0 ? 2 : 2 * others.pace;
        machine.loop().schedule(this::idle, 1 + random.nextInt(pace), TimeUnit.MILLISECONDS);
    }

    private void idle() {
        if (busy || ending) {
            return;
        }
        if (burst > 0) {
            burst--;
            heed();
            order(knownOrder, knownRevision, knownRevision + 1 + random.nextInt(3));
            return;
        }
        int drawn = random.nextInt(20);
        if (drawn < 5) {
            show(FEW);
        } else if (drawn == 5 && !own.isEmpty()) {
            resend(own.get(random.nextInt(own.size())));
        } else if (drawn == 6) {
            invalid();
        } else {
            if (random.nextInt(4) > 0) {
                heed();
            }
            long revision = knownRevision + 1 + random.nextInt(5);
            if (drawn < 11) {
                SimulatedOperator rival = others.idler(this);
                if (rival != null) {
                    rival.rival(knownOrder, knownRevision, random.nextBoolean() ? revision : revision + 1);
                }
            }
            order(knownOrder, knownRevision, revision);
        }
    }

    /** Takes over the results that other operators received. */
    private void heed() {
        OperatorRequest newest = judge.newestAcked();
        if (newest != null && newest.revision > knownRevision) {
            knownOrder = newest.id;
            knownRevision = newest.revision;
        }
    }

    /** To be given now, if nothing is under way. */
    void orderNow() {
        if (!busy && !ending) {
            busy = true;
            machine.loop().execute(() -> {
                heed();
                order(knownOrder, knownRevision, knownRevision + 1 + random.nextInt(5));
            });
        }
    }

    private void rival(int parent, long base, long revision) {
        busy = true;
        machine.loop().schedule(() -> order(parent, base, revision), random.nextInt(4), TimeUnit.MILLISECONDS);
    }

    private void order(int parent, long base, long revision) {
        boolean replacesAll = parent == 0 || random.nextInt(3) > 0;
        int ballast = replacesAll && others.ballast > 0 ? random.nextInt(others.ballast) : 0;
        OperatorRequest request = OperatorRequest.valid(judge.next(), parent, base, revision, replacesAll, ballast);
        judge.made(request);
        send(request, Integer.MAX_VALUE);
    }

    private void invalid() {
        OperatorRequest request = OperatorRequest.invalid(judge.next(), knownOrder, knownRevision, random.nextInt(6));
        judge.made(request);
        send(request, FEW);
    }

    private void resend(OperatorRequest request) {
        judge.resent++;
        send(request, FEW);
    }

    private void send(OperatorRequest request, int tries) {
        if (request.sentAt < 0) {
            request.sentAt = cluster.now();
        }
        run(
                new CallHandler() {
                    @Override
                    public String path() {
                        return request.path();
                    }

                    @Override
                    public Long base() {
                        return request.base;
                    }

                    @Override
                    public byte[] body() {
                        return request.body;
                    }

                    @Override
                    public boolean answered(int status, byte[] body, long askedAt, String member) {
                        if (status == 200) {
                            judge.acked(request);
                            others.acknowledged(member);
                            own.add(request);
                            if (request.revision > knownRevision) {
                                knownOrder = request.id;
                                knownRevision = request.revision;
                            }
                            rest();
                        } else {
                            judge.refused(request, status, askedAt);
                            show(FEW);
                        }
                        return true;
                    }
                },
                tries);
    }

    /** Reads; {@code tries}: at most. */
    private void show(int tries) {
        show(tries, this::rest);
    }

    /** Reads until there is a response, and passes on the configuration that is active. */
    void last(IntConsumer then) {
        machine.loop().execute(() -> show(Integer.MAX_VALUE, () -> then.accept(knownOrder)));
    }

    private void show(int tries, Runnable then) {
        run(
                new CallHandler() {
                    @Override
                    public String path() {
                        return "/brambletray/configuration/show";
                    }

                    @Override
                    public Long base() {
                        return null;
                    }

                    @Override
                    public byte[] body() {
                        return null;
                    }

                    @Override
                    public boolean answered(int status, byte[] body, long askedAt, String member) {
                        if (status == 200) {
                            String text = new String(body, StandardCharsets.UTF_8);
                            Matcher mark = MARK.matcher(text);
                            Matcher revision = REVISION.matcher(text);
                            knownOrder = mark.find() ? Integer.parseInt(mark.group(1)) : 0;
                            knownRevision = revision.find() ? Long.parseLong(revision.group(1)) : 0;
                            judge.shown(knownOrder, knownRevision, askedAt);
                        } else {
                            judge.fail("READ-REFUSED", "show: " + status);
                        }
                        then.run();
                        return true;
                    }
                },
                tries);
    }

    private void run(CallHandler what, int tries) {
        busy = true;
        hostCall++;
        List<String> members = cluster.list();
        attempt(what, members.get(random.nextInt(members.size())), 0, 1, tries, PAUSE);
    }

    private void attempt(CallHandler what, String member, int hops, int tried, int tries, int pause) {
        int mine = hostCall;
        long askedAt = cluster.now();
        HttpCall.make(
                machine, Address.parse(member), what.path(), what.base(), what.body(), (status, location, body) -> {
                    if (mine != hostCall) {
                        return;
                    }
                    if (status == 307 && hops < HOPS && location != null) {
                        String next = location.substring("http://".length());
                        attempt(what, next.substring(0, next.indexOf('/')), hops + 1, tried, tries, pause);
                    } else if (status == 200 || status >= 400 && status < 500 && status != 408 && status != 429) {
                        what.answered(status, body, askedAt, member);
                    } else if (tried >= tries) {
                        rest();
                    } else {
                        machine.loop()
                                .schedule(
                                        () -> attempt(
                                                what,
                                                other(member),
                                                0,
                                                tried + 1,
                                                tries,
                                                Math.min(PAUSE_MOST, pause * 2)),
                                        pause,
                                        TimeUnit.MILLISECONDS);
                    }
                });
    }

    private String other(String than) {
        List<String> members = cluster.list();
        int at = members.indexOf(than);
        return at < 0
                ? members.get(random.nextInt(members.size()))
                : members.get((at + 1 + random.nextInt(Math.max(1, members.size() - 1))) % members.size());
    }
}
