package brambletray.platform.provisioning;

import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The stand-in of the platform behind a network that may lose answers, or all. */
final class FlakyPlatform {
    /** How the platform is: it answers; it does as it is told but no answer arrives; nothing arrives. */
    enum Mood {
        ANSWERS,
        MUTE,
        AWAY
    }

    private static final long DELAY = 5;
    private static final long PATIENCE = 1_500;

    final PlatformStub stand;
    Mood mood = Mood.ANSWERS;
    int begins;
    int stops;
    int lists;
    int workerLists;
    private final VirtualTime wires;

    FlakyPlatform(VirtualTime wires, PlatformParameters ground, long seed) {
        this.wires = wires;
        this.stand = new PlatformStub(ground, seed, 0);
    }

    void begin(String service, String worker, String nonce, long term, Consumer<StartResponse> back) {
        begins++;
        call(
                () -> stand.startInstance(service, worker, nonce, term, wires.now()),
                StartResponse.of(CallResult.UNKNOWN),
                back);
    }

    void stop(String id, long term, Consumer<CallResult> back) {
        stops++;
        call(() -> stand.stopInstance(id, term, wires.now()), CallResult.UNKNOWN, back);
    }

    /** Null: it did not come. */
    void workers(Consumer<List<WorkerInfo>> back) {
        workerLists++;
        call(() -> stand.workers(wires.now()), null, back);
    }

    void list(List<ListedInstance> before, String token, PlatformClient.ListCallback back) {
        lists++;
        call(() -> stand.list(token, wires.now()), new PlatformStub.Page(null, null), page -> {
            if (page.hosts() == null) {
                back.onList(before, false);
                return;
            }
            List<ListedInstance> all = new ArrayList<>(before);
            all.addAll(page.hosts());
            if (page.next() == null) {
                back.onList(all, true);
            } else {
                list(all, page.next(), back);
            }
        });
    }

    private <T> void call(java.util.function.Supplier<T> work, T silence, Consumer<T> back) {
        Mood sent = mood;
        wires.in(DELAY, () -> {
            T answer = sent == Mood.AWAY ? silence : work.get();
            boolean heard = sent == Mood.ANSWERS && mood == Mood.ANSWERS;
            wires.in(heard ? DELAY : PATIENCE, () -> back.accept(heard ? answer : silence));
        });
    }
}
