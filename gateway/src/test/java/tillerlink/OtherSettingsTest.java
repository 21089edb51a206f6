package tillerlink;

import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.platform.commons.support.ReflectionSupport;

/**
 * Plays each scenario of the policy under other settings: under other names, and with all times,
 * works and priority weights a few times as large. Its actions must be the same, at times as much
 * larger: no figure of one site decides anything.
 */
class OtherSettingsTest {
  @TestFactory
  List<DynamicTest> scenarios() {
    List<DynamicTest> scenarios = new ArrayList<>();
    for (Method scenario : DefaultDispatchPolicyTest.class.getDeclaredMethods()) {
      if (scenario.isAnnotationPresent(Test.class)) {
        scenarios.add(replayed(scenario, 1, true));
        scenarios.add(replayed(scenario, 2, false));
        scenarios.add(replayed(scenario, 3, true));
        scenarios.add(replayed(scenario, 7, false));
      }
    }
    return scenarios;
  }

  private static DynamicTest replayed(Method scenario, int scale, boolean renamed) {
    return DynamicTest.dynamicTest(
        scenario.getName() + " x " + scale + (renamed ? " renamed" : ""),
        () -> {
          PolicyTrace.scale = scale;
          PolicyTrace.renamed = renamed;
          try {
            ReflectionSupport.invokeMethod(scenario, new DefaultDispatchPolicyTest());
          } finally {
            PolicyTrace.scale = 1;
            PolicyTrace.renamed = false;
          }
        });
  }
}
