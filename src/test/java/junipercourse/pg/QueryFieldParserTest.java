package junipercourse.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import junipercourse.SocketTestSupport;
import junipercourse.core.Query;
import junipercourse.liveness.ArrivalInterval;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QueryFieldParserTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    private final QueryFieldParser parser = new QueryFieldParser(SocketTestSupport.settings());

    private Query parse(String text) throws InvalidQueryFieldException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return parser.parse(
                QueryFieldParser.toText(bytes, bytes.length), ArrivalInterval.exact(100));
    }

    @Test
    void parsesAllFieldsAndKeepsStatementUnchanged() throws InvalidQueryFieldException {
        Query query =
                parse(
                        "/* kind=load,req="
                                + ID
                                + ",timeout=1500,owner=acme,resent=1,opkey=5c0f,"
                                + "ms=820.0,ram=96,subject=7f3a9c21e0b4d655 */ INSERT INTO"
                                + " sales_17.orders  VALUES ('a, b=c\u00e9') ;");
        assertEquals(
                new Query(
                        ID,
                        "load",
                        1,
                        0,
                        101.5,
                        "5c0f",
                        0x7f3a9c21e0b4d655L,
                        17,
                        0.82,
                        96,
                        true,
                        query.statement(),
                        ArrivalInterval.exact(100)),
                query);
        assertEquals(
                "INSERT INTO sales_17.orders  VALUES ('a, b=c\u00e9') ;",
                new String(query.statement(), StandardCharsets.UTF_8));
    }

    /** Guards against heads of thousands of fields, each of which cost time and memory. */
    @Test
    void queryWithManyFieldsIsRefused() throws InvalidQueryFieldException {
        String fields = "kind=check,req=" + ID + ",timeout=5,owner=acme" + ",note".repeat(60);
        assertEquals("check", parse("/* " + fields + " */ SELECT 1").className());
        InvalidQueryFieldException refusal =
                assertThrows(
                        InvalidQueryFieldException.class,
                        () -> parse("/* " + fields + ",note */ SELECT 1"));
        assertTrue(refusal.getMessage().contains("more than 64 fields"), refusal.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kind | SELECT 1",
                "kind | /* kind=check SELECT 1",
                "kind | /* req=9b1f03aa5c7e2d41,timeout=5,owner=acme */ SELECT 1",
                "kind | /* kind=huge,req=9b1f03aa5c7e2d41,timeout=5,owner=acme */ SELECT 1",
                "req | /* kind=check,timeout=5,owner=acme */ SELECT 1",
                "req | /* kind=check,req=xyz,timeout=5,owner=acme */ SELECT 1",
                "timeout | /* kind=check,req=9b1f03aa5c7e2d41,owner=acme */ SELECT 1",
                "timeout | /* kind=check,req=9b1f03aa5c7e2d41,timeout=soon,owner=acme */ SELECT 1",
                "timeout | /* kind=check,req=9b1f03aa5c7e2d41,timeout=-5,owner=acme */ SELECT 1",
                "timeout | /* kind=check,req=9b1f03aa5c7e2d41,timeout=0,owner=acme */ SELECT 1",
                "owner | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5 */ SELECT 1",
                "owner | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=nobody */ SELECT 1",
                "opkey | /* kind=load,req=9b1f03aa5c7e2d41,timeout=5,owner=acme */ SELECT 1",
                "subject | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,subject=q */"
                        + " SELECT 1",
                "subject | /* kind=load,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,opkey=5c0f */"
                        + " SELECT 1",
                "subject | /* kind=load,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,opkey=5c0f,"
                        + "subject=0000000000000000 */ SELECT 1",
                "resent | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,resent=yes */"
                        + " SELECT 1",
                "ms | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,ms=NaN */ SELECT 1",
                "timeout | /* kind=check,req=9b1f03aa5c7e2d41,timeout=99999,owner=acme */ SELECT 1",
                "ms | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,ms=9e14 */ SELECT 1",
                "ram | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=acme,ram=-1 */ SELECT 1",
                "statement | /* kind=check,req=9b1f03aa5c7e2d41,timeout=5,owner=acme */",
                "kind | /* kind=check,kind=load,req=9b1f03aa5c7e2d41,timeout=5,owner=acme */ SELECT"
                        + " 1"
            })
    void errorNamesTheInvalidField(String field, String text) {
        InvalidQueryFieldException e =
                assertThrows(InvalidQueryFieldException.class, () -> parse(text));
        assertTrue(e.getMessage().startsWith(field + ": "), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "17 | SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
                "3 | INSERT INTO load_3.ledger SELECT * FROM staging.batch_9",
                "3 | INSERT INTO load_3.ledger (a) SELECT b FROM staging.rows_5 WHERE c = 'x_6.y'",
                "8 | SELECT * FROM staging.rows JOIN sales_8.orders ON true",
                "8 | SELECT t_5.a FROM sales_8.orders AS t_5",
                "4 | SELECT 'from sales_1.x' FROM /* from sales_2.x /* nested */ */"
                        + " \"sales_4\".orders",
                "4 | SELECT $q$ FROM a_1.b $q$, 'it''s FROM a_2.b' -- FROM a_3.b~FROM"
                        + " sales_4.orders",
                "6 | SELECT E'it\\' FROM a_1.b' FROM sales_6.orders",
                "12 | SELECT * FROM analytics.sales_12.orders",
                "2 | UPDATE ledger_2.entries SET note = 'x'",
                "2 | DELETE FROM ONLY ledger_2.entries",
                "5 | SELECT * FROM staging.a, sales_5.b",
                "0 | SELECT 1",
                "0 | SELECT * FROM orders_7"
            })
    void extractsTableGroupFromStatement(float group, String sql) {
        assertEquals(group, TableGroupExtractor.extractGroup(sql.replace("~", "\n")));
    }
}
