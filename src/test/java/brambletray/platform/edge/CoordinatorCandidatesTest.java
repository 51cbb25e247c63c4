package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import brambletray.platform.settings.Address;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which an edge tries control plane members. */
class CoordinatorCandidatesTest {
    private static List<Address> addresses(String names) {
        List<Address> all = new ArrayList<>();
        for (char name : names.toCharArray()) {
            all.add(new Address("10.0.0." + (name - 'a' + 1), 90));
        }
        return all;
    }

    private static Address address(char name) {
        return addresses(String.valueOf(name)).get(0);
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
    void seedsAreTriedInTurnFromTheStartOffset() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(-2);
        assertNull(candidates.next(null));
        candidates.onSeeds(addresses("abc"));
        assertEquals("bcabca", next(candidates, 6));
    }

    @Test
    void newestViewPrecedesTheSeedsAndOlderViewsAreIgnored() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(0);
        candidates.onSeeds(addresses("abc"));
        candidates.onViewMembers(4, addresses("de"));
        candidates.onViewMembers(3, addresses("xyz"));
        candidates.onViewMembers(5, List.of());
        assertEquals("deabcd", next(candidates, 6));
        candidates.restart();
        assertEquals("d", next(candidates, 1));
        candidates.onViewMembers(6, addresses("fa"));
        assertEquals("fabcf", next(candidates, 5));
    }

    @Test
    void excludedMemberIsSkippedUnlessItIsTheOnlyOne() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(0);
        candidates.onSeeds(addresses("a"));
        assertEquals(address('a'), candidates.next(address('a')));
        candidates.onSeeds(addresses("ab"));
        assertEquals(address('b'), candidates.next(address('a')));
    }

    @Test
    void latestSeedsGoFirstAndAtMostSixteenAreKept() {
        CoordinatorCandidates candidates = new CoordinatorCandidates(0);
        candidates.onSeeds(addresses("abcdefghijklmno"));
        candidates.onSeeds(addresses("xyz"));
        assertEquals("xyzabcdefghijklmx", next(candidates, 17));
    }
}
