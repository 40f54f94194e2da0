package junipercourse.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against taking the rest of a short page for noise when it comes in pieces. */
class TrailingBytesTest {
    /** {@code ~} stands for a tab. */
    @ParameterizedTest
    @CsvSource({
        "day~1~note,true",
        "H~1~note,true",
        "HTTP~1~note,true",
        "~~,true",
        "noise,false",
        "HTTP/1.1 200 OK a~b~c,false"
    })
    void rowsAreRecognizedWhereverTheyAreCut(String text, boolean areRows) {
        byte[] bytes = text.replace('~', '\t').getBytes(StandardCharsets.ISO_8859_1);
        for (int cut = 0; cut <= bytes.length; cut++) {
            TrailingBytes trailingBytes = new TrailingBytes();
            trailingBytes.add(ByteBuffer.wrap(bytes, 0, cut));
            trailingBytes.add(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
            assertEquals(areRows, trailingBytes.areRows(), "cut at " + cut);
        }
    }
}
