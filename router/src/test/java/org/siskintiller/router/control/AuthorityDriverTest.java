package org.siskintiller.router.control;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.router.peer.FleetIntervals;

import static com.google.common.truth.Truth.assertThat;

class AuthorityDriverTest {
    private static final Incarnation INCARNATION = new Incarnation(1);

    private AuthorityDriver driver;

    @BeforeEach
    void create() {
        Member self = new Member("self", new Address("127.0.0.1", 1), "domain", "service");
        ControlState state = new ControlState();
        ControlSettings settings = new ControlSettings(self, INCARNATION);
        PeerDirectory peers =
                new PeerDirectory(settings, null, null, state, null, new FleetIntervals(), new MetricRegistry());
        driver = new AuthorityDriver(settings, state, peers, null, new TableDifferences(state));
    }

    @Nested
    class Claiming {
        @Test
        void startsAuthorityWithClaimOfThisProcess() {
            driver.claimRead(claim(INCARNATION, 4), 0);

            assertThat(driver.active()).isTrue();
        }

        /** Guards against a claim of an earlier process of the instance that makes this process the authority. */
        @Test
        void ignoresClaimOfEarlierProcess() {
            driver.claimRead(claim(new Incarnation(2), 4), 0);

            assertThat(driver.active()).isFalse();
        }

        /** Guards against two authorities: the successor relies on the acknowledged resignation. */
        @Test
        void ignoresOlderClaimReadAfterResignation() {
            assertThat(driver.resignationRequested(5)).isTrue();
            driver.claimRead(claim(INCARNATION, 4), 0);

            assertThat(driver.active()).isFalse();
        }
    }

    @Nested
    class Resigning {
        @Test
        void endsAuthorityOfLowerTerm() {
            driver.claimRead(claim(INCARNATION, 4), 0);

            assertThat(driver.resignationRequested(5)).isTrue();
            assertThat(driver.active()).isFalse();
        }

        /** Guards against a delayed resignation request with a lower term that ends a newer authority. */
        @Test
        void keepsAuthorityOfHigherTerm() {
            driver.claimRead(claim(INCARNATION, 6), 0);

            assertThat(driver.resignationRequested(5)).isFalse();
            assertThat(driver.active()).isTrue();
        }
    }

    private static AuthorityClaim claim(Incarnation incarnation, long term) {
        return new AuthorityClaim("self", incarnation, term, false);
    }
}
