package junipercourse.core;

import java.util.List;

/** Where the one final answer to a query goes; a front implements it. One of these is called, once. */
public interface Reply {
    /** All pages of the result, whole rows each, in order. */
    void served(List<byte[]> pages);

    /** Trying again is harmless, best after so many seconds. */
    void refused(double coolDown, String why);

    /** Failed; nothing is promised about effects. */
    void failed(String why);
}
