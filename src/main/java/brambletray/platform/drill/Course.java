package brambletray.platform.drill;

import java.util.List;
import java.util.function.Consumer;

/** Plays one script. */
final class Course {
    /**
     * ms for which orders go on after the last trouble; after which all must have come to an end; and for the last
     * readings.
     */
    private static final int CALM = 9_000;

    private static final int END = 20_000;
    private static final int READ = 15_000;

    private static final int LOOK = 50;

    /** {@code broken}: null, or the rule and why. {@code trace}: a hash of all that passed on the network. */
    record Result(
            Script script,
            String broken,
            int orders,
            int acknowledged,
            int refused,
            int resent,
            int reads,
            long longestSettled,
            long longest,
            int left,
            int cutShort,
            long trace,
            List<String> faults) {}

    private final World world;
    private final DrillJudge book;
    private final Operators operators;
    private final Script script;
    private final FaultInjector faults;

    private Course(Script script, Timeline timeline) {
        this.script = script;
        world = new World(script);
        world.timeline = timeline;
        book = new DrillJudge(world);
        world.whenFailed = why -> book.fail("RIG", why);
        world.whenLeftEarly = why -> book.fail("LEFT-EARLY", why);
        operators = new Operators(world, book);
        faults = new FaultInjector(world, operators);
    }

    /** {@code lines}: takes log lines of all processes, or null. */
    static Result play(Script script, Consumer<String> lines) {
        return play(script, lines, Timeline.none());
    }

    /** {@code timeline}: where to put what happens to each process. */
    static Result play(Script script, Consumer<String> lines, Timeline timeline) {
        Course course = new Course(script, timeline);
        try (LogTap tap = new LogTap(course.world, lines)) {
            return course.play(tap);
        }
    }

    private Result play(LogTap tap) {
        for (CoreNode core : world.cores) {
            world.at(world.random.nextInt(300), core::start);
        }
        for (EdgeNode edge : world.edges) {
            world.at(world.random.nextInt(300), edge::start);
        }
        operators.begin();
        look();
        for (Trouble trouble : script.troubles()) {
            world.at(trouble.at() - 2, operators::orderNow);
            world.at(trouble.at(), () -> {
                String met = faults.begin(trouble);
                tap.note(met);
            });
            world.at(trouble.at() + 1, operators::orderNow);
            world.at(trouble.at() + trouble.span(), operators::orderNow);
        }
        until(script.endMs());
        world.at(script.endMs(), faults::heal);
        until(script.endMs() + CALM);
        operators.end();
        if (!until(script.endMs() + END, () -> !operators.busy())) {
            book.fail("UNENDED", "an errand has not come to an end");
        }
        int[] last = {-1, 0};
        operators.last(order -> {
            last[0] = order;
            last[1]++;
        });
        if (!until(world.now() + READ, () -> last[1] == operators.count())) {
            book.fail("NOT-SHOWN", "no answer to " + (operators.count() - last[1]) + " of the last readings");
        }
        if (book.broken() == null) {
            book.end(last[0]);
        }
        world.timeline = Timeline.none();
        world.cores.forEach(core -> core.kill(false));
        world.edges.forEach(EdgeNode::kill);
        return new Result(
                script,
                book.broken(),
                book.made(),
                book.acknowledged,
                book.refused,
                book.resent,
                book.reads,
                book.longestSettled,
                book.longest,
                world.left,
                world.cutShort,
                world.simulation.trace(),
                tap.faults());
    }

    private void look() {
        book.look();
        if (world.timeline.records()) {
            world.cores.forEach(CoreNode::noteRole);
        }
        world.after(LOOK, this::look);
    }

    private void until(long ms) {
        until(ms, () -> false);
    }

    /** True when it holds by then. */
    private boolean until(long ms, java.util.function.BooleanSupplier holds) {
        world.simulation.runUntil(ms * 1_000_000, () -> book.broken() != null || holds.getAsBoolean());
        return book.broken() != null || holds.getAsBoolean();
    }
}
