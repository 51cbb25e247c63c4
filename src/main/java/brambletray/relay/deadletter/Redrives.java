package brambletray.relay.deadletter;

import brambletray.relay.deadletter.Rule.GiveUp;
import brambletray.relay.deadletter.Rule.SendAgain;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which kept message is done what with now, by a book of rules; pure. Redrives are spread: each rule has its
 * rate, and each destination a window of redrives out that begins at one, grows by one with a delivery up to
 * {@link #OUT_MOST} and falls to one with a failure. After one the destination is left alone for
 * {@link #REST}, twice as long after each further one, up to {@link #REST_MOST}.
 */
public final class Redrives {
    /** Redrives out to one destination at most. */
    public static final int OUT_MOST = 8;
    /** ms. */
    public static final long REST = 5_000;

    public static final long REST_MOST = 600_000;
    /** Destinations remembered; those at rest and without redrives are forgotten first. */
    private static final int PLACES_MOST = 100_000;

    /** What to do with one message. */
    public sealed interface Decision {}

    /** Sends it again, as judged. */
    public record Go(Rule rule, SendAgain how, long destination, Judgement.May may) implements Decision {}

    /** Settles it. */
    public record End(Rule rule) implements Decision {}

    /** Nothing now, for this reason. */
    public record Wait(String why) implements Decision {}

    private static final class Place {
        int out;
        double window = 1;
        long rest;
        long restUntil;
    }

    private static final class Pace {
        double tokens = 1;
        long at;
    }

    private final List<Rule> rules;
    private final Map<Long, Place> places = new HashMap<>();
    private final Map<String, Pace> paces = new HashMap<>();

    /** {@code former}: whose redrives out and rests go on; null for none. */
    public Redrives(List<Rule> rules, Redrives former) {
        this.rules = List.copyOf(rules);
        if (former != null) {
            places.putAll(former.places);
            paces.putAll(former.paces);
        }
    }

    /**
     * {@code proof} null for none. Takes nothing from rates and windows: {@link #begun} does, once a redrive
     * is claimed.
     */
    public Decision decide(KeptMessage keptMessage, Judge.NotDone proof, long now, int epoch) {
        for (Rule rule : rules) {
            if (rule.matches(keptMessage)) {
                return decide(rule, keptMessage, proof, now, epoch);
            }
        }
        return new Wait("no rule matches");
    }

    private Decision decide(Rule rule, KeptMessage keptMessage, Judge.NotDone proof, long now, int epoch) {
        if (now - keptMessage.ended() < rule.olderThan()) {
            return new Wait(rule.name() + ": not old enough");
        }
        if (rule.action() instanceof GiveUp) {
            return new End(rule);
        }
        if (!(rule.action() instanceof SendAgain how)) {
            return new Wait(rule.name() + ": holds it for a person");
        }
        if (keptMessage.redrives() >= rule.redrives()) {
            return new Wait(rule.name() + ": sent again " + keptMessage.redrives() + " times already");
        }
        long to = how.destination() == 0 ? keptMessage.destination() : how.destination();
        Judgement judgement = Judge.judge(keptMessage, to, proof, now, epoch);
        if (!(judgement instanceof Judgement.May may)) {
            return new Wait(rule.name() + ": " + judgement.why());
        }
        if (!how.open(now)) {
            return new Wait(rule.name() + ": outside its hours");
        }
        Place place = places.get(to);
        if (place != null && now < place.restUntil) {
            return new Wait(rule.name() + ": destination " + to + " failed, and is left alone");
        }
        if (place != null && place.out >= (int) place.window) {
            return new Wait(rule.name() + ": enough are out to destination " + to);
        }
        if (tokens(rule, how, now).tokens < 1) {
            return new Wait(rule.name() + ": its rate is used up");
        }
        return new Go(rule, how, to, may);
    }

    private Pace tokens(Rule rule, SendAgain how, long now) {
        Pace pace = paces.computeIfAbsent(rule.name(), n -> {
            Pace fresh = new Pace();
            fresh.at = now;
            return fresh;
        });
        // A clock that was set back adds nothing.
        pace.tokens = Math.min(
                Math.max(1, how.perSecond()), pace.tokens + Math.max(0, now - pace.at) / 1_000.0 * how.perSecond());
        pace.at = now;
        return pace;
    }

    /** A redrive is claimed. */
    public void begun(Go go, long now) {
        tokens(go.rule(), go.how(), now).tokens--;
        out(go.destination());
    }

    /** A redrive was out before a restart, and still is. */
    public void out(long destination) {
        if (places.size() >= PLACES_MOST) {
            places.values().removeIf(place -> place.out == 0);
        }
        places.computeIfAbsent(destination, d -> new Place()).out++;
    }

    /** It was delivered. */
    public void delivered(long destination) {
        Place place = back(destination);
        place.window = Math.min(OUT_MOST, place.window + 1);
        place.rest = 0;
    }

    /** It ended undelivered, or was not taken on; {@code advice}: ms to come back after, 0 for none. */
    public void failed(long destination, long advice, long now) {
        Place place = back(destination);
        place.window = 1;
        place.rest = Math.min(REST_MOST, Math.max(REST, place.rest * 2));
        place.restUntil = now + Math.max(place.rest, advice);
    }

    private Place back(long destination) {
        Place place = places.computeIfAbsent(destination, d -> new Place());
        place.out = Math.max(0, place.out - 1);
        return place;
    }

    /** Redrives out to a destination. */
    public int outTo(long destination) {
        Place place = places.get(destination);
        return place == null ? 0 : place.out;
    }
}
