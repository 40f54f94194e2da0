package junipercourse.scale.page;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The page in the repository says what the results in the repository give, and no number besides. */
class CapacityPageTest {
    @Test
    void thePageSaysWhatTheResultsGive() throws IOException {
        assertEquals(List.of(), new Page(Files.readString(CapacityPage.PAGE))
            .faults(CapacityPage.tables(CapacityPage.RESULTS)));
    }
}
