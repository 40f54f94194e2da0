package junipercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ProductLimitTest {
    @Test
    void censoredSamplesLeaveTheRestToCarryTheLoss() {
        ProductLimit p = new ProductLimit(10);
        assertEquals(1, p.survival(5));
        p.add(1, false);
        p.add(2, true);
        p.add(4, false);
        p.add(3, false);
        assertEquals(1, p.survival(0.9), 1e-9);
        assertEquals(0.75, p.survival(1), 1e-9);
        assertEquals(0.75, p.survival(2.5), 1e-9);
        assertEquals(0.375, p.survival(3), 1e-9);
        assertEquals(0, p.survival(9), 1e-9);
    }

    @Test
    void oldSamplesGiveWay() {
        ProductLimit p = new ProductLimit(2);
        p.add(1, false);
        p.add(2, false);
        p.add(7, false);
        p.add(7, true);
        assertEquals(2, p.size());
        assertEquals(1, p.survival(6), 1e-9);
        assertEquals(0.5, p.survival(7), 1e-9);
    }
}
