package brambletray.platform.distribution;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntConsumer;
import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGHUP of one process, from the first line of its main method on. Without handlers, these signals
 * end the JVM with exit code 143 or 129, which counts as a failed process.
 *
 * <p>Until the program runs, SIGTERM ends the process with exit code 0, as nothing has been served, and SIGHUP is
 * deferred. Then the program receives the first SIGTERM and each SIGHUP before it. All signals after the first SIGTERM
 * are ignored. Thread-safe.
 */
public final class ProcessSignals {
    private static final ProcessSignals PROCESS = new ProcessSignals(System::exit);

    private final IntConsumer exit;
    private final ReentrantLock lock;
    private Program program;
    private boolean terminated;
    private boolean reloadPending;

    /** A running program. Its methods are called on a JVM thread and must not block or throw. */
    public interface Program {
        /** SIGTERM: shuts down gracefully, with exit code 0. */
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

    /** Installs the signal handlers; to be called first in the main method of a program. */
    public static void handle() {
        Signal.handle(new Signal("TERM"), signal -> PROCESS.terminate());
        Signal.handle(new Signal("HUP"), signal -> PROCESS.reload());
    }

    /** Registers the program of this process, which receives the signals from now on. */
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
