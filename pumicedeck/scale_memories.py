"""Measures the memory of the catalogue and the membership in one entry process."""

import pickle
import tracemalloc
from random import Random

from result import Ok

from pumicedeck.catalogue_rows import build_catalogue, decode_copy, encode_copy
from pumicedeck.memberships import ListVms, Membership, OpenSession
from pumicedeck.scale_deployments import DeploymentSize, build_vms, initial_rows

STEPS = 120


def membership_memory(size: DeploymentSize) -> int:
    """Return the peak bytes of the VM list, the catalogue and the membership with its sessions."""
    vms = build_vms(size)
    pickled_vms = pickle.dumps(vms)
    encoded_catalogue = encode_copy(build_catalogue(1, initial_rows(size)))
    tracemalloc.start()
    membership = Membership(vms[0], Random(1))
    actions = membership.catalogue_installed(0.0, decode_copy(encoded_catalogue).unwrap())
    actions += membership.start(0.0)
    for step in range(STEPS):
        while actions:
            match actions.pop():
                case ListVms(call):
                    actions += membership.vms_listed(step, call, Ok(pickle.loads(pickled_vms)))
                case OpenSession(vm):
                    actions += membership.session_opened(step, vm.name)
        actions = membership.on_timer(step + 1.0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak
