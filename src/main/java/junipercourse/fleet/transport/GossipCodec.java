package junipercourse.fleet.transport;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import junipercourse.fleet.membership.GossipMessage;

/**
 * Encodes gossip messages as datagrams: four bytes of CRC32C over the rest, then one protobuf
 * message. Nothing is decoded before the checksum matches, which protects against damage, not
 * against forgery; no field of the message is decoded before fleet and version match. Fields are
 * only ever added, with a new minor version, under numbers that were never used; readers skip
 * unknown ones. A change of a field's meaning is a new major version. Fields 1 to 3 never change: 1
 * fleet (string), 2 major, 3 minor (uint32); the others are in {@link GossipFields}.
 */
final class GossipCodec {
    /** Fits into one packet on any usual network path. */
    static final int MAX_DATAGRAM_BYTES = 1200;

    static final int MAJOR_VERSION = 1;
    static final int MINOR_VERSION = 1;
    static final int FLEET_FIELD = 1;
    static final int MAJOR_FIELD = 2;
    static final int MINOR_FIELD = 3;

    private final String fleet;
    private final int major;
    private final int minor;
    private final CRC32C crc = new CRC32C();

    /** Creates a codec of the current version. */
    GossipCodec(String fleet) {
        this(fleet, MAJOR_VERSION, MINOR_VERSION);
    }

    /** Creates a codec of another version, for tests. */
    GossipCodec(String fleet, int major, int minor) {
        this.fleet = fleet;
        this.major = major;
        this.minor = minor;
    }

    /**
     * The result of decoding.
     *
     * @param message the message; null if it was dropped
     * @param dropReason why it was dropped; null if it was not
     */
    record Decoded(GossipMessage message, DropReason dropReason) {}

    /**
     * Encodes a message from the buffer's start and flips the buffer; returns false if it does not
     * fit.
     */
    boolean encode(GossipMessage message, ByteBuffer buffer) {
        try {
            CodedOutputStream out =
                    CodedOutputStream.newInstance(
                            buffer.array(), Integer.BYTES, MAX_DATAGRAM_BYTES - Integer.BYTES);
            out.writeString(FLEET_FIELD, fleet);
            out.writeUInt32(MAJOR_FIELD, major);
            out.writeUInt32(MINOR_FIELD, minor);
            GossipFields.encode(message, out);
            buffer.clear().limit(Integer.BYTES + out.getTotalBytesWritten());
        } catch (CodedOutputStream.OutOfSpaceException e) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing to an array fails only for lack of space
        }
        buffer.putInt(checksum(buffer)).rewind();
        return true;
    }

    /** Decodes the bytes from the buffer's start to its limit. */
    Decoded decode(ByteBuffer buffer) {
        if (buffer.limit() > MAX_DATAGRAM_BYTES) {
            return new Decoded(null, DropReason.TOO_LONG);
        }
        if (buffer.limit() <= Integer.BYTES || buffer.getInt(0) != checksum(buffer)) {
            return new Decoded(null, DropReason.DAMAGED);
        }
        try {
            return decode(
                    CodedInputStream.newInstance(
                            buffer.array(), Integer.BYTES, buffer.limit() - Integer.BYTES));
        } catch (IOException | IllegalArgumentException e) {
            return new Decoded(
                    null, DropReason.UNREADABLE); // truncated, invalid UTF-8, or out of bounds
        }
    }

    private Decoded decode(CodedInputStream in) throws IOException {
        String senderFleet = "";
        int version = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case FLEET_FIELD << GossipFields.TAG_TYPE_BITS | GossipFields.LENGTH_DELIMITED ->
                        senderFleet = in.readStringRequireUtf8();
                case MAJOR_FIELD << GossipFields.TAG_TYPE_BITS -> version = in.readUInt32();
                case MINOR_FIELD << GossipFields.TAG_TYPE_BITS -> in.readUInt32(); // informational
                default -> {
                    DropReason dropReason = dropReason(senderFleet, version);
                    return new Decoded(
                            dropReason == null ? GossipFields.decode(tag, in) : null, dropReason);
                }
            }
        }
        DropReason dropReason = dropReason(senderFleet, version);
        return new Decoded(null, dropReason == null ? DropReason.UNREADABLE : dropReason);
    }

    private DropReason dropReason(String senderFleet, int version) {
        if (!senderFleet.equals(fleet)) {
            return DropReason.OTHER_FLEET;
        }
        return version == major
                ? null
                : version > major ? DropReason.NEWER_FORMAT : DropReason.UNREADABLE;
    }

    /** Returns the checksum of all bytes after the checksum field, up to the buffer's limit. */
    private int checksum(ByteBuffer datagram) {
        crc.reset();
        crc.update(datagram.array(), Integer.BYTES, datagram.limit() - Integer.BYTES);
        return (int) crc.getValue();
    }
}
