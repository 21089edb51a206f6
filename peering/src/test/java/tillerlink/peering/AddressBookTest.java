package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which address is used for another gateway. */
class AddressBookTest {
  @Test
  void configuredAddressesTakePrecedenceOverAnnouncedOnes() {
    Map<String, String> announced = Map.of("n2", "10.0.0.2:7400", "n3", "10.0.0.3:7400");
    AddressBook book =
        new AddressBook(
            Map.of("n2", "10.9.0.2:1", "n9", "10.9.0.9:1"),
            name -> announced.getOrDefault(name, ""));
    assertEquals("10.9.0.2:1", book.addressOf("n2"));
    assertEquals("10.0.0.3:7400", book.addressOf("n3"));
    assertEquals("10.9.0.9:1", book.addressOf("n9"), "configured but not announced");
    assertEquals("", book.addressOf("n4"));
    assertEquals(
        "10.9.0.2:1",
        book.resolve("10.0.0.2:7400"),
        "an announced address resolves to the configured one");
    assertEquals("10.0.0.3:7400", book.resolve("10.0.0.3:7400"));
    assertEquals(
        "10.1.1.1:5",
        book.resolve("10.1.1.1:5"),
        "an unknown address, such as a seed, is unchanged");
  }
}
