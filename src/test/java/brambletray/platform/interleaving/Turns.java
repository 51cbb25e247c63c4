package brambletray.platform.interleaving;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Threads of which one runs at a time, as on a machine of the bench, and which change over only at points: where a lock
 * is taken, where a
 * condition is awaited, and where {@link #point} is called. Who goes on at each point is chosen; {@link #everyOrder}
 * plays all choices.
 * Nothing sleeps, and a choice always leads to the same scenario.
 */
public final class Turns {
    /** s after which a thread that reaches no point is taken for hung. */
    private static final int HUNG_S = 60;

    private static final BooleanSupplier ALWAYS = () -> true;

    private static final class Task {
        private final String name;
        private final Semaphore go = new Semaphore(0);
        private BooleanSupplier mayGo = ALWAYS;
        private boolean ended;
        private Throwable thrown;

        private Task(String name) {
            this.name = name;
        }
    }

    private final List<Task> tasks = new ArrayList<>();
    private final Semaphore controller = new Semaphore(0);
    private final List<Integer> plan;
    private final List<Integer> chosen = new ArrayList<>();
    private final List<Integer> widths = new ArrayList<>();
    private Task current;

    private Turns(List<Integer> plan) {
        this.plan = plan;
    }

    /**
     * Plays a scenario under every order of its threads' turns: {@code course} sets it up, calls {@link #run} and
     * checks what came of it. Returns the number of orders; fails with the choices of the first order that fails.
     */
    public static int everyOrder(Consumer<Turns> scenario) {
        List<Integer> plan = List.of();
        int orders = 0;
        while (plan != null) {
            Turns turns = new Turns(plan);
            try {
                scenario.accept(turns);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("turns " + turns.chosen + ": " + e.getMessage(), e);
            }
            orders++;
            plan = turns.next();
        }
        return orders;
    }

    /** The choices of the next order, or null after the last. */
    private List<Integer> next() {
        for (int i = chosen.size() - 1; i >= 0; i--) {
            if (chosen.get(i) + 1 < widths.get(i)) {
                List<Integer> next = new ArrayList<>(chosen.subList(0, i));
                next.add(chosen.get(i) + 1);
                return next;
            }
        }
        return null;
    }

    /** One more thread; it begins in {@link #run}. */
    public void thread(String name, Runnable body) {
        Task task = new Task(name);
        tasks.add(task);
        Thread thread = new Thread(() -> body(task, body), name);
        thread.setDaemon(true);
        thread.start();
    }

    private void body(Task task, Runnable body) {
        task.go.acquireUninterruptibly();
        try {
            body.run();
        } catch (Throwable e) {
            task.thrown = e;
        }
        task.ended = true;
        controller.release();
    }

    /** Plays until all threads have ended; fails if one throws, or if those that are left wait for each other. */
    public void run() {
        while (!tasks.stream().allMatch(task -> task.ended)) {
            List<Task> ready = tasks.stream()
                    .filter(task -> !task.ended && task.mayGo.getAsBoolean())
                    .toList();
            if (ready.isEmpty()) {
                throw new AssertionError("all wait: " + waiting());
            }
            turn(ready.get(ready.size() == 1 ? 0 : choose(ready.size())));
        }
    }

    private List<String> waiting() {
        return tasks.stream().filter(task -> !task.ended).map(task -> task.name).toList();
    }

    private int choose(int width) {
        int at = chosen.size();
        int choice = at < plan.size() ? plan.get(at) : 0;
        chosen.add(choice);
        widths.add(width);
        return choice;
    }

    private void turn(Task task) {
        current = task;
        task.go.release();
        try {
            if (!controller.tryAcquire(HUNG_S, TimeUnit.SECONDS)) {
                throw new AssertionError(task.name + " reaches no point");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        current = null;
        if (task.thrown != null) {
            throw new AssertionError(task.name + " throws " + task.thrown, task.thrown);
        }
    }

    /** Another thread may go on here; does nothing on a thread that is none of these. */
    public void point() {
        pauseUntil(ALWAYS);
    }

    private void pauseUntil(BooleanSupplier mayGo) {
        Task me = current;
        if (me == null) {
            return;
        }
        me.mayGo = mayGo;
        controller.release();
        me.go.acquireUninterruptibly();
    }

    /** A lock of these threads. */
    public CountingLock lock() {
        return new CountingLock();
    }

    /** A lock at which another thread may go on, and that counts how often it was taken. */
    public final class CountingLock extends ReentrantLock {
        private static final long serialVersionUID = 1L;
        private transient Object owner;
        private int taken;

        private CountingLock() {}

        /** How often it was taken. */
        public int taken() {
            return taken;
        }

        private Object self() {
            return current == null ? Turns.this : current;
        }

        @Override
        public boolean isHeldByCurrentThread() {
            return owner == self();
        }

        @Override
        public void lock() {
            pauseUntil(() -> owner == null);
            taken++;
            owner = self();
        }

        @Override
        public void unlock() {
            require();
            owner = null;
        }

        private void require() {
            if (!isHeldByCurrentThread()) {
                throw new IllegalMonitorStateException("the lock isn't held");
            }
        }

        @Override
        public Condition newCondition() {
            return new Signalled();
        }

        private final class Signalled implements Condition {
            private final List<boolean[]> waiters = new ArrayList<>();

            @Override
            public void await() {
                require();
                boolean[] signalled = new boolean[1];
                waiters.add(signalled);
                owner = null;
                pauseUntil(() -> signalled[0] && owner == null);
                owner = self();
            }

            @Override
            public void signal() {
                require();
                if (!waiters.isEmpty()) {
                    waiters.remove(0)[0] = true;
                }
            }

            @Override
            public void signalAll() {
                require();
                waiters.forEach(waiter -> waiter[0] = true);
                waiters.clear();
            }

            @Override
            public void awaitUninterruptibly() {
                throw new UnsupportedOperationException();
            }

            @Override
            public long awaitNanos(long nanos) {
                throw new UnsupportedOperationException();
            }

            @Override
            public boolean await(long time, TimeUnit unit) {
                throw new UnsupportedOperationException();
            }

            @Override
            public boolean awaitUntil(java.util.Date deadline) {
                throw new UnsupportedOperationException();
            }
        }
    }
}
