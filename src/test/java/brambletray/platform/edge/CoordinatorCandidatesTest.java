package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import brambletray.platform.settings.Address;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom an edge asks for the coordinator, in which order. */
class CoordinatorCandidatesTest {
    private static List<Address> all(String names) {
        List<Address> all = new ArrayList<>();
        for (char name : names.toCharArray()) {
            all.add(new Address("10.0.0." + (name - 'a' + 1), 90));
        }
        return all;
    }

    private static Address one(char name) {
        return all(String.valueOf(name)).get(0);
    }

    private static String next(CoordinatorCandidates candidates, int times) {
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < times; i++) {
            names.append(
                    (char) ('a' + Integer.parseInt(candidates.next(null).host().substring(7)) - 1));
        }
        return names.toString();
    }

    @Test
    void seedsInTurnFromThePlaceOfThisProcess() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(-2);
        assertNull(candidates.next(null));
        candidates.onSeeds(all("abc"));
        assertEquals("bcabca", next(candidates, 6));
    }

    @Test
    void theNewestViewGoesBeforeTheSettingsAndAnOlderOneIsPassedOver() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(0);
        candidates.onSeeds(all("abc"));
        candidates.onViewMembers(4, all("de"));
        candidates.onViewMembers(3, all("xyz"));
        candidates.onViewMembers(5, List.of());
        assertEquals("deabcd", next(candidates, 6));
        candidates.restart();
        assertEquals("d", next(candidates, 1));
        candidates.onViewMembers(6, all("fa"));
        assertEquals("fabcf", next(candidates, 5));
    }

    @Test
    void theOneThatHasJustBeenAskedIsPassedOverUnlessItIsTheOnlyOne() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(0);
        candidates.onSeeds(all("a"));
        assertEquals(one('a'), candidates.next(one('a')));
        candidates.onSeeds(all("ab"));
        assertEquals(one('b'), candidates.next(one('a')));
    }

    @Test
    void theLatestSettingsGoFirstAndNoMoreThanSixteenAreKept() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(0);
        candidates.onSeeds(all("abcdefghijklmno"));
        candidates.onSeeds(all("xyz"));
        assertEquals("xyzabcdefghijklmx", next(candidates, 17));
    }
}
