#include "cornelfront/admission_control.h"

namespace cornelfront {

double
LongestAdmittedWaitMs(const AdmissionOptions& aOptions,
                      double aSlackMs,
                      uint8_t aPriority)
{
  const bool urgent = aPriority == 0;
  return aSlackMs * (urgent ? aOptions.urgentWaitShare_ : aOptions.waitShare_);
}

} // namespace cornelfront
