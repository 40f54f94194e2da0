package junipercourse.engine;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Which engine is listed at which address. A new engine may have the address of an earlier one. */
final class ListedAddresses {
    private final Map<InetSocketAddress, EnginePool> pools = new HashMap<>();

    /** Adds the pool of a listed engine in place of an earlier one at its address. */
    void add(EnginePool pool) {
        pools.put(pool.address(), pool);
    }

    /** Removes the pool of an engine that is no longer listed. */
    void remove(EnginePool pool) {
        pools.remove(pool.address(), pool);
    }

    /** Whether an engine other than that of the pool is listed at its address. */
    boolean isReused(EnginePool pool) {
        EnginePool listed = pools.get(pool.address());
        return listed != null && listed != pool;
    }
}
