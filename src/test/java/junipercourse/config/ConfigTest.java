package junipercourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import junipercourse.SocketTestSupport;
import junipercourse.decision.api.Idempotency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigTest {
    @Test
    void readsFileAndEnvironmentWhenBothAreGiven() {
        Config config =
                Config.parse(
                        SocketTestSupport.CONFIG,
                        Map.of("RELAY_NAME", "n9", "RELAY_LISTEN", "10.0.0.4:7001"));
        assertEquals("n9", config.name());
        assertEquals("/10.0.0.4:7001", config.listenAddress().toString());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(new Config.Resources(1, 192, 1024), config.resources());
        assertEquals(
                Idempotency.IDEMPOTENT_WITH_KEY,
                config.settings().queryClasses().get(1).idempotency());
        assertEquals(2, config.settings().queryClasses().get(1).threads());
        assertEquals(12, config.settings().engineKinds().get(0).cores());
        assertEquals(2, config.settings().loadMetrics().size());
    }

    @Test
    void usesDefaultsWhenKeysAreMissing() {
        Config config =
                Config.parse(
                        "{\"listen\":\"[::1]:1\",\"settings\":{\"grades\":[{\"effect\":\"once\","
                                + "\"goal_time_s\":1,\"deadline_s\":2}]}}",
                        Map.of());
        assertEquals(new Config.Resources(1, 192, 1024), config.resources());
        assertEquals(30, config.idleTimeoutSeconds());
    }

    /** Each case changes one place of a valid file; the message must start with its key. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "RELAY_CONFIG | {\"name\" | [\"name\"",
                "listen | \"listen\" | \"heard\"",
                "listen | 127.0.0.1:0 | localhost:7001",
                "listen | 127.0.0.1:0 | 127.0.0.1:70000",
                "listen | 127.0.0.1:0 | 127.0.0.1",
                "bus | \"127.0.0.1:1\" | 5",
                "seed | 8c1f30d27a5be964 | seed",
                "limits | {\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024} | 7",
                "limits.sockets | 1024 | 3",
                "limits.memory_mb | 192 | \"much\"",
                "settings | \"settings\" | \"unsettled\"",
                "settings.grades.0.effect | repeatable | sometimes",
                "settings.grades.1.deadline_s | 20.0 | \"long\"",
                "settings.grades.0.goal_time_s | \"goal_time_s\":1.5, | ' '",
                "settings | \"deadline_s\":7.5 | \"deadline_s\":-1",
                "settings.balancers | \"balancers\":1 | \"balancers\":0",
                "settings.balancers | \"balancers\":1 | \"balancers\":2.5",
                "settings.balancers | \"balancers\":1 | \"balancers\":1e12",
                "settings.limits.cancel | \"cancel\":true | \"cancel\":7",
                "settings.limits.conn_idle_s | 30.0 | \"x\"",
                "settings.telemetry.fields | \"busy\" | \"mood\"",
                "settings.registry_mode | \"balancers\":1 | \"registry_mode\":\"pull\"",
                "settings.family_info.loads | \"says_cost\" | \"loads\":[false,\"ture\"],\"x\"",
                "settings.family_info.class_waits | \"says_cost\" | \"class_waits\":[1],\"x\"",
                "settings.family_info.class_threads | [1,2] | [1,2.5]",
                "settings.grades.1.deadline_s | 20.0 | \"Infinity\"",
                "settings.guarantees.drain_grace_s | \"drain_grace_s\":1.0 |"
                        + " \"drain_grace_s\":\"NaN\""
            })
    void messageStartsWithTheKeyWhenAValueIsInvalid(
            String key, String original, String replacement) {
        assertTrue(SocketTestSupport.CONFIG.contains(original));
        String text =
                SocketTestSupport.CONFIG.replaceFirst(
                        java.util.regex.Pattern.quote(original), replacement);
        ConfigException e = assertThrows(ConfigException.class, () -> Config.parse(text, Map.of()));
        assertEquals(key, e.getMessage().split(": ")[0], e.getMessage());
    }

    @Test
    void messageNamesThePathWhenTheFileIsMissing() {
        assertTrue(
                assertThrows(
                                ConfigException.class,
                                () -> Config.read(Map.of("RELAY_CONFIG", "/no/such")))
                        .getMessage()
                        .startsWith("RELAY_CONFIG: cannot read /no/such"));
    }
}
