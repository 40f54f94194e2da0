package junipercourse.engine;

import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * The pages of one result, added in order. At most 64 pages and 256 KB in all; a result has at most
 * 48,000 bytes.
 */
final class ResultPages {
    private static final int COLUMNS = 3;
    private static final int MAX_PAGES = 64;
    private static final int MAX_BYTES = 256 * 1024;
    private static final String PAGE_COUNT_HEADER = "x-fetches";
    private static final String PAGE_NUMBER_HEADER = "x-fetch";

    /**
     * Stands for a number that is missing or unreadable; no valid count or page number equals it.
     */
    private static final int NO_NUMBER = -1;

    private final String engineName;
    private final List<byte[]> pages = new ArrayList<>();
    private int pageCount;
    private int totalBytes;

    /** {@code engineName} is named in the log where a page is malformed. */
    ResultPages(String engineName) {
        this.engineName = engineName;
    }

    /**
     * Adds page 0, which states the number of pages; false if it is another page or malformed. A
     * page 0 that does not state the number is malformed: without it, a result of several pages
     * would look complete.
     */
    boolean addFirst(HttpResponse response) {
        pageCount = parseNumber(response.header(PAGE_COUNT_HEADER));
        String fault = findFaultInFirst(response);
        if (fault != null) {
            Logger.warn("engine {}: malformed first page: {}", engineName, fault);
            return false;
        }
        add(response.body());
        return true;
    }

    /** Describes why a response is not a valid page 0; null if it is one. */
    private String findFaultInFirst(HttpResponse response) {
        if (response.header(PAGE_NUMBER_HEADER) != null) {
            return "it carries a page number";
        }
        if (pageCount < 1) {
            return "the number of pages is missing or unreadable";
        }
        if (pageCount > MAX_PAGES) {
            return "more than " + MAX_PAGES + " pages";
        }
        return hasOnlyWholeRows(response.body()) ? null : "a row is incomplete";
    }

    /** Whether a response carries the number of the next page. */
    boolean isNextPage(HttpResponse response) {
        return response.status() == 200
                && parseNumber(response.header(PAGE_NUMBER_HEADER)) == pages.size();
    }

    /** Adds the next page; false if the response is another page or malformed. */
    boolean addNext(HttpResponse response) {
        boolean isValid =
                isNextPage(response)
                        && hasOnlyWholeRows(response.body())
                        && totalBytes + response.body().length <= MAX_BYTES;
        if (isValid) {
            add(response.body());
        }
        return isValid;
    }

    /** Removes the page added last, which turned out to be incomplete. */
    void removeLast() {
        totalBytes -= pages.remove(pages.size() - 1).length;
    }

    boolean isEmpty() {
        return pages.isEmpty();
    }

    private void add(byte[] page) {
        totalBytes += page.length;
        pages.add(page);
    }

    /** The number of the next page to fetch. */
    int nextNumber() {
        return pages.size();
    }

    boolean isComplete() {
        return pages.size() == pageCount;
    }

    List<byte[]> toList() {
        return List.copyOf(pages);
    }

    /**
     * Whether a page consists of complete rows of three columns: no client may receive a truncated
     * result as complete.
     */
    private static boolean hasOnlyWholeRows(byte[] page) {
        int tabs = 0;
        for (byte b : page) {
            tabs += b == '\t' ? 1 : 0;
            if (b == '\n') {
                if (tabs != COLUMNS - 1) {
                    return false;
                }
                tabs = 0;
            }
        }
        return page.length == 0 || page[page.length - 1] == '\n';
    }

    private static int parseNumber(String text) {
        try {
            return text == null ? NO_NUMBER : Integer.parseInt(text.trim());
        } catch (NumberFormatException e) {
            return NO_NUMBER;
        }
    }
}
