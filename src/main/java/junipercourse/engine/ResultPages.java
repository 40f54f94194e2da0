package junipercourse.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * The pages of one result, added in order. At most 64 pages and 256 KB in all; a result has at most
 * 48,000 bytes.
 */
final class ResultPages {
    private static final int COLUMNS = 3;
    private static final int MAX_PAGES = 64;
    private static final int MAX_BYTES = 256 * 1024;

    private final List<byte[]> pages = new ArrayList<>();
    private int pageCount;
    private int totalBytes;

    /** Adds page 0, which gives the number of pages; false if it is another page or malformed. */
    boolean addFirst(HttpResponse response) {
        String pageCountHeader = response.header("x-fetches");
        pageCount = pageCountHeader == null ? 1 : parseNumber(pageCountHeader);
        if (response.header("x-fetch") != null
                || pageCount < 1
                || pageCount > MAX_PAGES
                || !hasOnlyWholeRows(response.body())) {
            return false;
        }
        add(response.body());
        return true;
    }

    /** Whether a response carries the number of the next page. */
    boolean isNextPage(HttpResponse response) {
        return response.status() == 200 && parseNumber(response.header("x-fetch")) == pages.size();
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
            return text == null ? -1 : Integer.parseInt(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
