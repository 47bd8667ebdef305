"""Distinct types for identifiers."""

from typing import NewType

HostName = NewType("HostName", str)
RunnerName = NewType("RunnerName", str)
PoolName = NewType("PoolName", str)
ModelName = NewType("ModelName", str)
ServiceName = NewType("ServiceName", str)
WorkspaceName = NewType("WorkspaceName", str)
ZoneName = NewType("ZoneName", str)
RequestId = NewType("RequestId", str)
ReservationId = NewType("ReservationId", str)
ApplyId = NewType("ApplyId", str)
Generation = NewType("Generation", int)
Incarnation = NewType("Incarnation", int)
Attempt = NewType("Attempt", int)
