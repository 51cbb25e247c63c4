package brambletray.platform.controlplane;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A core of several members, each with production {@link OperatorCalls}, on one order of changes that keeps what the
 * package {@code view} promises and no more: a proposal comes into the order once, twice, late, after its caller was
 * told that it is unclear, or never; outcomes come after further deliveries; a member that is cut off believes to lead
 * for a while; members restart from an old snapshot, or jump ahead by one. One seed gives one scenario. Operators send
 * what they have to any member, follow 307 twice, go elsewhere after a second of silence, lose answers and send again,
 * also long after. The {@link OperatorCallsChecker} hears only what they saw.
 */
final class OperatorCallsModel {
    private static final int STEP_MS = 10;
    private static final int TICK_MS = 50;
    private static final int SILENCE_MS = 1_000;
    private static final int PROPOSE_MS = 3_000;
    private static final String AT = "/brambletray/configuration/";

    /** A change as an operator wrote it. {@code mark}: the timeout of its route, of this change only. */
    record Written(int id, String verb, long base, long revision, int mark, boolean valid, byte[] body) {}

    private final class Pending {
        private final Machine from;
        private final int boot;
        private final long token;
        private final byte[] change;
        private final long since = now;
        private int place = -1;
        private boolean ended;
        private boolean gone;

        Pending(Machine from, long token, byte[] change) {
            this.from = from;
            this.boot = from.boot;
            this.token = token;
            this.change = change;
        }
    }

    private record Question(Machine from, int boot, long token, int need, long since) {}

    private final class Machine implements OperatorCalls.ReplicaAccess {
        private final Member me;
        private OperatorCalls operators;
        private CallRouter<ControlPlaneServer.CallHandler> table;
        private int boot;
        private int delivered;
        private byte[] disk = new byte[0];
        private int diskAt;
        private boolean cut;
        private ReplicaRole standing = ReplicaRole.MEMBER;
        private Machine sees;

        Machine(int number) {
            me = new Member("10.0.0." + number + ":90", "core-" + number, number);
            begin();
        }

        private void begin() {
            boot++;
            operators = new OperatorCalls(this, () -> {});
            table = new CallRouter<>();
            operators.register(table);
            operators.restore(disk);
            operators.tick(now);
            delivered = diskAt;
        }

        private void deliver(int upTo) {
            while (delivered < Math.min(upTo, order.size())) {
                operators.apply(delivered + 1, order.get(delivered++));
            }
            if (random.nextInt(40) == 0) {
                disk = operators.snapshot();
                diskAt = delivered;
            }
        }

        @Override
        public ReplicaStatus status() {
            Member named = sees == null ? null : sees.me;
            return new ReplicaStatus(
                    standing, me, view, view - 1, List.of(), named, sees == this, true, true, 0, 0, false);
        }

        @Override
        public void propose(long token, byte[] change) {
            pending.add(new Pending(this, token, change));
        }

        @Override
        public void requestReadIndex(long token) {
            questions.add(new Question(this, boot, token, order.size(), now));
        }
    }

    /** One sending of a change (or, without one, a reading) until its end. */
    private final class Sending {
        private final Written written;
        private final long begun = now;
        private long since;
        private long next = now;
        private int pause = 100;
        private int hops;
        private int round;
        private boolean waits;
        private boolean over;

        Sending(Written written) {
            this.written = written;
        }

        private void go() {
            if (over) {
                return;
            }
            if (waits && now - since > SILENCE_MS) {
                again();
            }
            if (!waits && now >= next) {
                hops = 0;
                send(machines.get(random.nextInt(machines.size())));
            }
            over |= written != null && now - begun > 12_000;
        }

        private void again() {
            waits = false;
            next = now + pause;
            pause = Math.min(1_000, pause * 2);
        }

        private void send(Machine to) {
            waits = true;
            since = now;
            int mine = ++round;
            boolean lost = chance(5) && !calm;
            String path = AT + (written == null ? "show" : written.verb);
            String method = written == null ? "GET" : "POST";
            int boot = to.boot;
            boolean[] given = new boolean[1];
            ControlCall.Responder answer = (status, json, headers) -> {
                boolean first = !given[0];
                given[0] = true;
                if (first && !lost && mine == round && waits && !over && boot == to.boot) {
                    arrivals.add(() -> answered(mine, status, json, headers));
                }
            };
            to.table
                    .find(method, path)
                    .handler()
                    .handle(
                            new ControlCall(
                                    method,
                                    path,
                                    written == null ? null : Long.toString(written.base),
                                    written == null ? new byte[0] : written.body,
                                    answer),
                            null);
        }

        private void answered(int mine, int status, byte[] json, Map<String, String> headers) {
            if (mine != round || !waits || over) {
                return;
            }
            if (status == 307 && hops++ < 2) {
                send(machine(headers.get("Location")));
            } else if (status == 307 || status >= 500) {
                again();
            } else {
                over = true;
                if (written == null) {
                    shown(new String(json, StandardCharsets.UTF_8));
                } else {
                    checker.answered(written, status, now);
                    known = status == 200 ? Math.max(known, written.revision) : known;
                }
            }
        }

        private void shown(String json) {
            String number = json.replaceAll(".*\"revision\":(\\d+).*", "$1");
            String mark = json.contains("timeout-ms") ? json.replaceAll(".*\"timeout-ms\":(\\d+).*", "$1") : "0";
            checker.shown(Long.parseLong(number), Integer.parseInt(mark), begun, now);
            known = Math.max(known, Long.parseLong(number));
        }
    }

    private final Random random;
    private final OperatorCallsChecker checker = new OperatorCallsChecker();
    private final List<Machine> machines = new ArrayList<>();
    private final List<byte[]> order = new ArrayList<>();
    private final List<Pending> pending = new ArrayList<>();
    private final List<Question> questions = new ArrayList<>();
    private final List<Sending> sendings = new ArrayList<>();
    private final List<Runnable> arrivals = new ArrayList<>();
    private final List<Written> sent = new ArrayList<>();
    private long now = 1_000;
    private int view = 1;
    /** Of the active view; null while it is changed. */
    private Machine leader;

    private long electAt;
    private long known;
    private boolean calm;

    OperatorCallsModel(long seed) {
        random = new Random(seed);
        int count = random.nextInt(4) == 0 ? 5 : 3;
        for (int i = 1; i <= count; i++) {
            machines.add(new Machine(i));
        }
        lead(machines.get(0));
    }

    /** Plays; returns how many changes were acknowledged. AssertionError where a rule is broken. */
    int play(long ms) {
        for (long end = now + ms; now < end; ) {
            step();
        }
        calm = true;
        machines.forEach(this::heal);
        for (long end = now + 8_000; now < end; ) {
            step();
        }
        sendings.clear();
        Written last = write(true);
        sendings.add(new Sending(last));
        for (long end = now + 5_000; now < end; ) {
            step();
        }
        checker.end(last);
        return checker.confirmed();
    }

    private boolean chance(int oneOf) {
        return random.nextInt(oneOf) == 0;
    }

    private Machine machine(String location) {
        return machines.stream()
                .filter(one -> location.startsWith("http://" + one.me.address() + "/"))
                .findFirst()
                .orElseThrow();
    }

    private void step() {
        now += STEP_MS;
        List<Runnable> come = new ArrayList<>(arrivals);
        arrivals.clear();
        come.forEach(Runnable::run);
        if (!calm) {
            fault();
        }
        elect();
        proposals();
        for (Machine one : machines) {
            if (!one.cut && chance(3)) {
                one.deliver(one.delivered + 1 + random.nextInt(3));
            }
            if (now % TICK_MS == 0) {
                one.operators.tick(now);
            }
        }
        answers();
        operators();
    }

    private void fault() {
        Machine one = machines.get(random.nextInt(machines.size()));
        long away = machines.stream().filter(machine -> machine.cut).count();
        switch (random.nextInt(400)) {
            case 0, 1, 2 -> {
                if (2 * (away + 1) < machines.size()) {
                    cut(chance(2) && leader != null ? leader : one);
                }
            }
            case 3, 4, 5 -> heal(one);
            case 6 -> restart(one);
            case 7 -> jump(one);
            default -> {}
        }
        // one that is cut off finds out in its own time
        for (Machine machine : machines) {
            if (machine.cut && chance(300)) {
                machine.standing = ReplicaRole.SUSPENDED;
            }
        }
    }

    private void cut(Machine one) {
        one.cut = true;
        if (one == leader) {
            leader = null;
            electAt = now + 300 + random.nextInt(1_200);
        }
    }

    private void heal(Machine one) {
        if (one.cut) {
            one.cut = false;
            one.standing = ReplicaRole.SUSPENDED;
        }
    }

    private void restart(Machine one) {
        one.begin();
        one.standing = ReplicaRole.SUSPENDED;
        if (one == leader) {
            leader = null;
            electAt = now + 300 + random.nextInt(1_200);
        }
    }

    /** The state of another by snapshot: what was under way here has no clear outcome. */
    private void jump(Machine one) {
        Machine other = machines.get(random.nextInt(machines.size()));
        if (one.cut || other.delivered <= one.delivered) {
            return;
        }
        one.operators.restore(other.operators.snapshot());
        one.delivered = other.delivered;
        for (Pending item : List.copyOf(pending)) {
            if (item.from == one && item.boot == one.boot && !item.ended) {
                item.ended = true;
                one.operators.onProposalCompleted(item.token, ProposalOutcome.UNKNOWN);
            }
        }
    }

    private void elect() {
        if (leader == null && now >= electAt) {
            List<Machine> there =
                    machines.stream().filter(machine -> !machine.cut).toList();
            lead(there.get(random.nextInt(there.size())));
        }
        for (Machine one : machines) {
            if (!one.cut
                    && leader != null
                    && (one.sees != leader || one.standing != ReplicaRole.MEMBER)
                    && chance(20)) {
                one.sees = leader;
                one.standing = ReplicaRole.MEMBER;
                one.operators.onStatusChanged();
            }
        }
    }

    private void lead(Machine next) {
        view++;
        leader = next;
        // what a former leader had given a place may have been on others' disks
        for (Pending item : pending) {
            if (item.place < 0 && !item.gone && chance(3)) {
                append(item);
            }
        }
        next.deliver(order.size());
        next.sees = next;
        next.standing = ReplicaRole.MEMBER;
        next.operators.onStatusChanged();
    }

    private void append(Pending item) {
        order.add(item.change);
        item.place = order.size();
    }

    private void proposals() {
        for (Pending item : new ArrayList<>(pending)) {
            boolean lives = item.boot == item.from.boot;
            if (item.place < 0 && !item.gone && leader != null && !item.from.cut && (lives ? chance(4) : chance(100))) {
                append(item);
            } else if (item.place > 0 && chance(150)) {
                order.add(item.change);
            }
            if (lives && !item.ended && item.place > 0 && item.from.delivered >= item.place && chance(3)) {
                item.ended = true;
                item.from.operators.onProposalCompleted(item.token, ProposalOutcome.COMMITTED);
            } else if (lives && !item.ended && now - item.since > PROPOSE_MS) {
                item.ended = true;
                item.gone = item.place < 0 && chance(2);
                item.from.operators.onProposalCompleted(
                        item.token, item.gone ? ProposalOutcome.REJECTED : ProposalOutcome.UNKNOWN);
            }
        }
        pending.removeIf(item -> now - item.since > 2 * PROPOSE_MS);
    }

    private void answers() {
        for (Question question : new ArrayList<>(questions)) {
            Machine from = question.from;
            boolean lives = question.boot == from.boot;
            boolean sure = !from.cut && leader != null && from.sees == leader && from.delivered >= question.need;
            boolean late = now - question.since > PROPOSE_MS;
            if (!lives || late || sure && chance(2)) {
                questions.remove(question);
                if (lives) {
                    from.operators.onReadIndexCompleted(question.token, sure && !late);
                }
            }
        }
    }

    private void operators() {
        sendings.forEach(Sending::go);
        sendings.removeIf(one -> one.over);
        if (calm) {
            return;
        }
        if (sendings.size() < 8 && chance(8)) {
            Written written = write(!chance(5));
            sendings.add(new Sending(written));
            if (chance(4)) {
                sendings.add(new Sending(written));
            }
        }
        if (sendings.size() < 10 && chance(10)) {
            sendings.add(new Sending(null));
        }
        // sent again, however long ago it was and whatever it came to; nobody sends again what was refused
        Written old = sent.isEmpty() ? null : sent.get(random.nextInt(sent.size()));
        if (old != null && sendings.size() < 10 && chance(25) && !checker.refused(old)) {
            sendings.add(new Sending(old));
        }
    }

    /** On top of what is known, or sometimes of what was; numbers rise by little, so that two often pick the same. */
    private Written write(boolean valid) {
        long base = known;
        long revision = base + 1 + random.nextInt(3);
        int id = sent.size() + 1;
        int mark = 1_000 + id;
        String service = "s" + base;
        boolean whole = base == 0 || chance(2);
        if (!valid) {
            boolean low = base > 0 && chance(2);
            revision = low ? base : revision;
            service = low ? service : "nowhere";
        }
        String route = "{'name':'r','host':'h.example','path-prefix':'/one/','route-type':'idempotent','timeout-ms':"
                + mark + ",'target-ms':400,'priority':2,'service':'" + service + "','retry-count':2}";
        String items = "'services':[" + service("s" + base) + "," + service("s" + revision) + "]";
        String text = whole
                ? "{'revision':" + revision + ",'routes':[" + route + "]," + items + "}"
                : "{'revision':" + revision + ",'upsert':{'routes':[" + route + "],'services':["
                        + service("s" + revision) + "]}}";
        Written written = new Written(
                id,
                whole ? "replace" : "modify",
                base,
                revision,
                mark,
                valid,
                text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        sent.add(written);
        checker.sent(written, now);
        return written;
    }

    private static String service(String name) {
        return "{'name':'" + name
                + "','health-path':null,'max-connections':72,'memory-mb':512,'boot-ms':750,'max-concurrency':4}";
    }
}
