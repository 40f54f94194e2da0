package junipercourse.fleet.link;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import junipercourse.fleet.link.wire.Datagram;
import junipercourse.fleet.link.wire.StatementMessage;
import junipercourse.fleet.link.wire.WordMessage;
import junipercourse.fleet.view.Standing;
import junipercourse.fleet.view.Statement;
import junipercourse.fleet.view.Word;

/**
 * A word as bytes and back: four bytes of CRC32C over the rest, then {@code fleet.proto}'s Datagram. Nothing
 * is read before the checksum matches, which guards against damage, not against forgers. A newer minor
 * version is read as far as it is known.
 */
final class Codec {
    /** What fits into one packet on any usual path. */
    static final int MOST_BYTES = 1200;
    static final int MAJOR = 1;
    static final int MINOR = 0;
    private static final Word.Kind[] KINDS = Word.Kind.values();
    private static final Standing[] STANDINGS = Standing.values();

    private final String fleet;
    private final CRC32C crc = new CRC32C();

    Codec(String fleet) {
        this.fleet = fleet;
    }

    /** What was read, or why nothing was. */
    record Read(Word word, Refusal refusal) { }

    /** Writes the word from the buffer's start on and flips it; false if it does not fit. */
    boolean write(Word word, ByteBuffer to) {
        Datagram message = Datagram.newBuilder().setFleet(fleet).setMajor(MAJOR).setMinor(MINOR)
                .setWord(message(word)).build();
        int size = Integer.BYTES + message.getSerializedSize();
        if (size > MOST_BYTES) {
            return false;
        }
        to.clear().limit(size).position(Integer.BYTES);
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(to.array(), Integer.BYTES,
                    size - Integer.BYTES);
            message.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // an array has no such errors
        }
        to.putInt(0, checksum(to)).position(0);
        return true;
    }

    /** Reads what lies between the buffer's position, which is to be 0, and its limit. */
    Read read(ByteBuffer from) {
        if (from.limit() > MOST_BYTES) {
            return new Read(null, Refusal.TOO_LONG);
        }
        if (from.limit() <= Integer.BYTES || from.getInt() != checksum(from)) {
            return new Read(null, Refusal.DAMAGED);
        }
        try {
            Datagram message = Datagram.parseFrom(from);
            if (!message.getFleet().equals(fleet)) {
                return new Read(null, Refusal.OTHER_FLEET);
            }
            if (message.getMajor() != MAJOR) {
                return new Read(null, message.getMajor() > MAJOR ? Refusal.NEWER_FORMAT : Refusal.UNREADABLE);
            }
            return new Read(word(message.getWord()), null);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return new Read(null, Refusal.UNREADABLE);
        }
    }

    /** Over all that follows the checksum's own place, up to the buffer's limit. */
    private int checksum(ByteBuffer of) {
        crc.reset();
        crc.update(of.array(), Integer.BYTES, of.limit() - Integer.BYTES);
        return (int) crc.getValue();
    }

    private static WordMessage message(Word w) {
        WordMessage.Builder out = WordMessage.newBuilder().setFrom(w.from())
                .setFromIncarnation(w.fromIncarnation()).setKind(w.kind().ordinal() + 1)
                .setNumber(w.number()).setAbout(w.about()).setDigest(w.digest())
                .setPage(w.page()).setPages(w.pages());
        for (Statement s : w.statements()) {
            out.addStatements(StatementMessage.newBuilder().setName(s.name())
                    .setIncarnation(s.incarnation()).setVersion(s.version())
                    .setStanding(s.standing().ordinal() + 1).setAddress(s.address()).setZone(s.zone()));
        }
        return out.build();
    }

    /** What comes from outside is held against the word's own bounds: an IllegalArgumentException names one. */
    private static Word word(WordMessage m) {
        List<Statement> statements = m.getStatementsList().stream().map(Codec::statement).toList();
        return new Word(m.getFrom(), m.getFromIncarnation(), of(KINDS, m.getKind()), m.getNumber(),
                m.getAbout(), m.getDigest(), statements, m.getPage(), m.getPages());
    }

    private static Statement statement(StatementMessage m) {
        return new Statement(m.getName(), m.getIncarnation(), m.getVersion(), of(STANDINGS, m.getStanding()),
                m.getAddress(), m.getZone());
    }

    private static <T> T of(T[] values, int number) {
        return number >= 1 && number <= values.length ? values[number - 1] : null;
    }
}
