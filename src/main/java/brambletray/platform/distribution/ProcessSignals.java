package brambletray.platform.distribution;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntConsumer;
import sun.misc.Signal;

/**
 * SIGTERM and SIGHUP of one process, from the first line of its main on. A signal that nobody handles ends a virtual
 * machine with 143 or 129, which counts as a process that failed.
 *
 * <p>Until the program runs, SIGTERM ends the process with 0, as nothing has been served, and SIGHUP is remembered.
 * From then on the program
 * hears the first SIGTERM, and each SIGHUP that comes before it. What comes after the first SIGTERM changes nothing.
 * Thread-safe.
 */
public final class ProcessSignals {
    private static final ProcessSignals PROCESS = new ProcessSignals(System::exit);

    private final IntConsumer exit;
    private final ReentrantLock lock;
    private Program program;
    private boolean terminated;
    private boolean reloadPending;

    /** A program that runs. Called on a thread of the system's; neither method may block or throw. */
    public interface Program {
        /** SIGTERM: ends in order, with exit code 0. */
        void terminate();

        /** SIGHUP: the settings file may have changed. */
        void reload();
    }

    ProcessSignals(IntConsumer exit) {
        this(exit, new ReentrantLock());
    }

    ProcessSignals(IntConsumer exit, ReentrantLock lock) {
        this.exit = exit;
        this.lock = lock;
    }

    /** The first line of a program's main. */
    public static void handle() {
        Signal.handle(new Signal("TERM"), signal -> PROCESS.terminate());
        Signal.handle(new Signal("HUP"), signal -> PROCESS.reload());
    }

    /** The program of this process runs, and hears of signals from now on. */
    public static void registerProgram(Program program) {
        PROCESS.register(program);
    }

    void register(Program started) {
        lock.lock();
        try {
            program = started;
            if (reloadPending && !terminated) {
                reloadPending = false;
                program.reload();
            }
        } finally {
            lock.unlock();
        }
    }

    void terminate() {
        lock.lock();
        try {
            if (terminated) {
                return;
            }
            terminated = true;
            if (program == null) {
                exit.accept(0);
            } else {
                program.terminate();
            }
        } finally {
            lock.unlock();
        }
    }

    void reload() {
        lock.lock();
        try {
            if (terminated) {
                return;
            }
            if (program == null) {
                reloadPending = true;
            } else {
                program.reload();
            }
        } finally {
            lock.unlock();
        }
    }
}
