package tillerlink;

import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.platform.commons.support.ReflectionSupport;

/**
 * Replays each scenario of the policy with other settings: with other names, and with all times,
 * works and priority weights multiplied by a factor. The actions must be the same, at times
 * multiplied by the same factor. This guards against decisions that depend on the figures of a
 * particular site.
 */
class OtherSettingsTest {
  @TestFactory
  List<DynamicTest> scenarios() {
    List<DynamicTest> scenarios = new ArrayList<>();
    for (Method scenario : DefaultDispatchPolicyTest.class.getDeclaredMethods()) {
      if (scenario.isAnnotationPresent(Test.class)) {
        scenarios.add(replay(scenario, 1, true));
        scenarios.add(replay(scenario, 2, false));
        scenarios.add(replay(scenario, 3, true));
        scenarios.add(replay(scenario, 7, false));
      }
    }
    return scenarios;
  }

  private static DynamicTest replay(Method scenario, int scale, boolean renamed) {
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
